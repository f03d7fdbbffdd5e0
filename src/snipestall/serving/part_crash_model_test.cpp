// A fleet of instances before servers that end under requests with a crashing part, in simulated
// time. All requests that reach servers are counted.

#include "snipestall/base/random.hpp"
#include "snipestall/serving/part_crash_watch.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using Verdict = PartCrashWatch::Verdict;

constexpr milliseconds Step { 10 };
constexpr milliseconds ExchangeInterval { 200 };
constexpr milliseconds ContactTime { 3000 };
constexpr milliseconds AnswerTime { 400 };
constexpr milliseconds CrashAfter { 60 };
constexpr milliseconds RestartTime { 3000 };
constexpr milliseconds JustBegun { 200 };
constexpr milliseconds TroubleAt { 5000 };
constexpr milliseconds TroubleFor { 4000 };
constexpr milliseconds Length { 20000 };
constexpr std::size_t EndsThatAreEnough = 5;
constexpr std::size_t MaxLaterRequests = 3;
constexpr std::uint64_t FirstParts = 8;
constexpr std::uint64_t Sessions = 400;
constexpr std::uint64_t CrashingPart = 7777;

enum class Trouble { None, HalfKilled, AllKilled, SomeSuspended, SomeCutOff };

class PartFleet
{
public:
    struct Case
    {
        std::size_t instances = 9;
        std::vector<std::uint64_t> crashing { CrashingPart };
        Trouble trouble = Trouble::None;
        /// Whether sound requests have the part, too, until it begins to crash servers.
        bool soundBefore = false;
        /// Whether the crashing part is the first one of its requests, and not the second.
        bool first = false;
        /// Servers that end at the same moment for another reason.
        std::size_t rackLost = 0;
        /// Three servers, and one first part that all requests have; the requests that crash
        /// servers come from the beginning on, so that all servers may end before any answer.
        bool small = false;
    };

    PartFleet(Case given, std::uint64_t seed)
        : m_case(std::move(given))
        , m_random(seed)
        , m_watches(m_case.instances)
        , m_awayUntil(m_case.instances)
        , m_servers(m_case.small ? 3 : std::max<std::size_t>(24, m_case.instances))
    {
        for (auto &watch : m_watches)
            watch = started();
        for (std::size_t i = 0; i < m_servers.size(); ++i)
            m_servers[i].name = "s" + std::to_string(i);
    }

    void play()
    {
        for (m_now = Begin; m_now < Begin + Length; m_now += Step) {
            trouble();
            restartServers();
            sendRequests();
            endRequests();
            exchange();
            store();
        }
    }

    std::size_t crashed() const { return m_crashingSends.size(); }
    std::size_t laterSends() const
    {
        if (m_ends.size() < EndsThatAreEnough)
            return 0;
        const SteadyTime bound = m_ends[EndsThatAreEnough - 1] + ContactTime;
        return static_cast<std::size_t>(std::ranges::count_if(
            m_crashingSends, [bound](SteadyTime sent) { return sent > bound; }));
    }
    int sound() const { return m_sound; }
    int soundRefused() const { return m_soundRefused; }
    std::size_t soundPartsBlocked() const
    {
        std::size_t most = 0;
        for (const auto &watch : m_watches) {
            std::size_t crashing = 0;
            for (const std::uint64_t part : m_case.crashing)
                crashing += watch->verdict(partsOf({ part }), m_now) == Verdict::Blocked ? 1 : 0;
            most = std::max(most, watch->blockedParts() - crashing);
        }
        return most;
    }

private:
    static constexpr SteadyTime Begin { 1000s };

    struct Server
    {
        std::string name;
        bool up = true;
        SteadyTime backAt;
        int starts = 0;
    };
    struct Running
    {
        std::size_t instance = 0;
        std::size_t server = 0;
        int start = 0;
        PromptParts parts;
        SteadyTime sentAt;
        bool crashes = false;
    };

    static PromptParts partsOf(std::vector<std::uint64_t> ids)
    {
        return { "pool", "m", std::move(ids) };
    }

    std::unique_ptr<PartCrashWatch> started() const
    {
        auto watch = std::make_unique<PartCrashWatch>();
        watch->rowRead(m_row, m_now);
        return watch;
    }

    bool away(std::size_t instance) const { return m_now < m_awayUntil[instance]; }
    /// Whether the bound holds for what the instance sends.
    bool inTouch(std::size_t instance) const
    {
        return m_awayUntil[instance] == SteadyTime()
            || m_now >= m_awayUntil[instance] + ContactTime;
    }
    bool suspended(std::size_t instance) const
    {
        return away(instance) && m_case.trouble == Trouble::SomeSuspended;
    }

    void trouble()
    {
        if (m_now - Begin != TroubleAt)
            return;
        for (std::size_t i = 0; i < m_watches.size(); ++i) {
            const bool hit = i % 2 == 0;
            if (m_case.trouble == Trouble::AllKilled
                || (m_case.trouble == Trouble::HalfKilled && hit))
                m_watches[i] = started();
            if ((m_case.trouble == Trouble::SomeSuspended || m_case.trouble == Trouble::SomeCutOff)
                && i % 3 == 0)
                m_awayUntil[i] = m_now + TroubleFor;
        }
        for (std::size_t i = 0; i < m_case.rackLost; ++i)
            endServer(m_servers[i]);
    }

    void endServer(Server &server)
    {
        server.up = false;
        server.backAt = m_now + RestartTime;
    }

    void restartServers()
    {
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            Server &server = m_servers[i];
            if (server.up || m_now < server.backAt)
                continue;
            server.up = true;
            ++server.starts;
            server.name = "s" + std::to_string(i) + "-" + std::to_string(server.starts);
        }
    }

    void sendRequests()
    {
        // 60 sound requests a second at 9 instances, more in larger fleets; 8 that crash.
        const double sound = 0.6 * std::max(1.0, static_cast<double>(m_case.instances) / 20);
        m_soundDue += sound;
        for (; m_soundDue >= 1; m_soundDue -= 1) {
            std::vector<std::uint64_t> parts { drawFirstPart(), 100 + m_random.below(Sessions) };
            if (m_case.soundBefore && m_now - Begin < 2s)
                parts.back() = m_case.crashing[0];
            send(partsOf(parts), false);
        }
        const milliseconds from = m_case.small ? 0s : 2s;
        m_crashingDue += m_case.crashing.empty() || m_now - Begin < from ? 0 : 0.08;
        for (; m_crashingDue >= 1; m_crashingDue -= 1) {
            const auto part = m_case.crashing[m_random.below(m_case.crashing.size())];
            if (m_case.first)
                send(partsOf({ part, 100 + m_random.below(Sessions) }), true);
            else
                send(partsOf({ drawFirstPart(), part }), true);
        }
    }

    std::uint64_t drawFirstPart() { return 1 + (m_case.small ? 0 : m_random.below(FirstParts)); }

    void send(const PromptParts &parts, bool crashes)
    {
        const std::size_t instance = m_random.below(m_case.instances);
        if (suspended(instance))
            return;
        m_sound += crashes ? 0 : 1;
        switch (m_watches[instance]->verdict(parts, m_now)) {
        case Verdict::Blocked:
            m_soundRefused += crashes ? 0 : 1;
            return;
        case Verdict::Suspected:
            m_waiting.push_back({ instance, 0, 0, parts, m_now, crashes });
            return;
        case Verdict::Allowed:
            place({ instance, 0, 0, parts, m_now, crashes });
        }
    }

    void place(Running request)
    {
        for (int tries = 0; tries < 20; ++tries) {
            request.server = m_random.below(m_servers.size());
            if (m_servers[request.server].up)
                break;
        }
        if (!m_servers[request.server].up)
            return;
        request.start = m_servers[request.server].starts;
        request.sentAt = m_now;
        if (request.crashes && inTouch(request.instance))
            m_crashingSends.push_back(m_now);
        m_running.push_back(std::move(request));
    }

    void endRequests()
    {
        for (Running &request : std::exchange(m_waiting, {})) {
            const Verdict verdict = m_watches[request.instance]->verdict(request.parts, m_now);
            if (verdict == Verdict::Suspected)
                m_waiting.push_back(std::move(request));
            else if (verdict == Verdict::Allowed)
                place(std::move(request));
            else
                m_soundRefused += request.crashes ? 0 : 1;
        }
        for (const Running &request : m_running) {
            Server &server = m_servers[request.server];
            if (request.crashes && server.up && server.starts == request.start
                && m_now - request.sentAt >= CrashAfter) {
                endServer(server);
                m_ends.push_back(m_now);
            }
        }
        std::erase_if(m_running, [this](const Running &request) {
            const Server &server = m_servers[request.server];
            if (!server.up || server.starts != request.start) {
                if (m_now - request.sentAt <= JustBegun && !suspended(request.instance))
                    m_watches[request.instance]->serverEnded(request.parts, server.name, m_now,
                                                             m_now);
                return true;
            }
            if (m_now - request.sentAt < AnswerTime)
                return false;
            if (!suspended(request.instance))
                m_watches[request.instance]->answered(request.parts, m_now);
            return true;
        });
    }

    void pass(std::size_t from, std::size_t to)
    {
        if (away(from) || away(to))
            return;
        for (const PartReport &report : m_watches[from]->reports(false, m_now))
            m_watches[to]->receive(report, m_now);
    }

    /// Members exchange reports with their hub, hubs with each other.
    void exchange()
    {
        const auto hubs = std::max<std::size_t>(1, m_case.instances / 30);
        for (std::size_t i = 0; i < m_case.instances; ++i) {
            const auto phase = milliseconds(static_cast<std::int64_t>(i % 20) * Step.count());
            if ((m_now - Begin + phase) % ExchangeInterval != 0ms)
                continue;
            for (std::size_t hub = 0; hub < hubs; ++hub) {
                if (i == hub || (i >= hubs && hub != i % hubs))
                    continue;
                pass(i, hub);
                pass(hub, i);
            }
        }
    }

    void store()
    {
        for (std::size_t i = 0; i < m_case.instances; ++i) {
            if (away(i) || !m_watches[i]->mustStore())
                continue;
            m_watches[i]->rowRead(m_row, m_now);
            m_row = m_watches[i]->updated(m_row, "p" + std::to_string(i), m_now);
            m_watches[i]->rowRead(m_row, m_now);
        }
    }

    Case m_case;
    Random m_random;
    SteadyTime m_now = Begin;
    std::vector<std::unique_ptr<PartCrashWatch>> m_watches;
    std::vector<SteadyTime> m_awayUntil;
    std::vector<Server> m_servers;
    std::vector<Running> m_running;
    std::vector<Running> m_waiting;
    std::vector<StoredPart> m_row;
    std::vector<SteadyTime> m_ends;
    std::vector<SteadyTime> m_crashingSends;
    double m_soundDue = 0;
    double m_crashingDue = 0;
    int m_sound = 0;
    int m_soundRefused = 0;
};

constexpr std::array<std::size_t, 4> FleetSizes { 1, 9, 60, 300 };

void expectBounded(const PartFleet::Case &given, std::uint64_t seeds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        PartFleet fleet(given, seed);
        fleet.play();
        const std::string what =
            std::to_string(given.instances) + " instances, seed " + std::to_string(seed);
        EXPECT_GE(fleet.crashed(), 3 * given.crashing.size()) << what;
        EXPECT_LE(fleet.laterSends(), MaxLaterRequests) << what;
        EXPECT_LE(fleet.soundRefused(), fleet.sound() / 20) << what;
        EXPECT_EQ(fleet.soundPartsBlocked(), 0U) << what;
    }
}

// Guards against crashed servers without end: each instance sees only a few of the ends, and the
// requests have one part in common among several that sound ones have as well.
TEST(PartFleetModel, FewRequestsReachServersOnceFiveHaveEnded)
{
    for (const std::size_t instances : FleetSizes) {
        for (const bool soundBefore : { false, true })
            expectBounded({ instances, { CrashingPart }, Trouble::None, soundBefore, false, 0 },
                          instances > 60 ? 10 : 20);
    }
}

// The same for a part that all requests with a system prompt have, and two parts at once.
TEST(PartFleetModel, AFirstPartAndTwoPartsAtOnceAreFound)
{
    for (const std::size_t instances : FleetSizes) {
        expectBounded({ instances, { CrashingPart }, Trouble::None, false, true, 0 }, 10);
        expectBounded(
            { instances, { CrashingPart, CrashingPart + 1 }, Trouble::None, false, false, 0 }, 10);
    }
}

// Guards against instances that forget, or were not there when it was told.
TEST(PartFleetModel, TheBoundHoldsWhileInstancesAreKilledSuspendedAndCutOff)
{
    for (const std::size_t instances : FleetSizes) {
        for (const Trouble trouble : { Trouble::HalfKilled, Trouble::AllKilled,
                                       Trouble::SomeSuspended, Trouble::SomeCutOff })
            expectBounded({ instances, { CrashingPart }, trouble, false, false, 0 },
                          instances > 60 ? 5 : 20);
    }
}

// Guards against refusing all requests of a small service whose servers have all ended before
// anything was answered.
TEST(PartFleetModel, ThePartThatAllRequestsHaveIsNotBlockedWithTheCause)
{
    PartFleet::Case small;
    small.small = true;
    for (const std::size_t instances : { 1, 3, 9, 60 }) {
        small.instances = instances;
        expectBounded(small, 40);
    }
}

// Guards against sound parts that are refused because a rack lost its power.
TEST(PartFleetModel, ALostRackBlocksNothing)
{
    for (const std::size_t instances : FleetSizes)
        expectBounded({ instances, {}, Trouble::None, false, false, 5 }, 10);
}

} // namespace
} // namespace snipestall::serving
