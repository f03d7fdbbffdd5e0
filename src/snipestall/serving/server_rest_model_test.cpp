// Model of servers that ask for rest, in simulated time: many instances send calls, answers take
// time, entries lapse and come back.

#include "snipestall/serving/peer_loads.hpp"
#include "snipestall/serving/placement.hpp"
#include "snipestall/serving/server_limits.hpp"
#include "snipestall/serving/service.hpp"
#include "snipestall/serving/slot_shares.hpp"
#include "snipestall/serving/stream_versions.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

const SteadyTime Start { 100s };
constexpr std::size_t Servers = 12;
/// Servers of which each sheds a part of its requests.
constexpr std::size_t Shedding = 6;
constexpr double ShedShare = 0.6;
constexpr milliseconds Length { 12000 };
constexpr milliseconds SheddingUntil { 9000 };
/// What is on its way when the server asks for rest may still arrive within this time.
constexpr milliseconds OnItsWay { 500 };
constexpr int AllowedInRest = 2;
constexpr double MinServed = 0.95;

class RestModel
{
public:
    RestModel(std::size_t instances, std::uint64_t seed, bool lapses)
        : m_random(seed)
    {
        m_service.name = "ledger";
        for (std::size_t i = 0; i < instances; ++i)
            m_instances.push_back(std::make_unique<Instance>(seed + i));
        for (const auto &instance : m_instances) {
            for (std::size_t server = 0; server < Servers; ++server)
                list(*instance, server);
        }
        // Every instance has some dozens of requests in flight at the highest rate.
        const milliseconds interval(1);
        for (milliseconds at { 0 }; at < Length; at += interval)
            add(Start + at, [this] { send(m_random.below(m_instances.size()), {}); });
        for (milliseconds at { 1000 }; lapses && at < SheddingUntil; at += 300ms)
            add(Start + at, [this] { lapse(); });
    }

    void run()
    {
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
    }

    [[nodiscard]] double served() const { return double(m_served) / double(m_requests); }
    [[nodiscard]] int mostInRest() const
    {
        int most = 0;
        for (const auto &[path, rests] : m_rests) {
            const std::vector<SteadyTime> &arrivals = m_arrivals.at(path);
            for (const auto &rest : rests) {
                const auto count = std::ranges::count_if(arrivals, [&rest](SteadyTime time) {
                    return time > rest.first + OnItsWay && time < rest.second;
                });
                most = std::max(most, static_cast<int>(count));
            }
        }
        return most;
    }

private:
    struct Instance
    {
        explicit Instance(std::uint64_t seed)
            : placement(servers, peers, rollouts, limits, shares, versions, estimate, "east", seed)
        { }
        ServerTable servers;
        PeerLoads peers;
        RolloutView rollouts { true };
        ServerLimits limits { "edge" };
        SlotShares shares { "edge" };
        StreamVersions versions;
        FirstEventEstimate estimate;
        Placement placement;
    };
    struct Event
    {
        SteadyTime time;
        std::size_t number = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(time, number) > std::tie(other.time, other.number);
        }
    };
    using Path = std::pair<std::size_t, std::string>;

    void add(SteadyTime time, std::function<void()> action)
    {
        m_events.push({ time, m_number++, std::move(action) });
    }
    void list(Instance &instance, std::size_t number)
    {
        BackendServer server;
        server.id = "i-" + std::to_string(number);
        server.startedAt = WallTime(10s);
        server.service = m_service.name;
        server.dataCentre = "east";
        server.slots = 6;
        instance.servers.put(server, m_now);
    }
    /// The entry of a server lapses at one instance and is listed again a moment later.
    void lapse()
    {
        Instance &instance = *m_instances[m_random.below(m_instances.size())];
        const std::size_t server = m_random.below(Servers);
        instance.servers.markExpired("i-" + std::to_string(server), m_now);
        instance.servers.removeExpired(m_now);
        add(m_now + 200ms, [this, &instance, server] { list(instance, server); });
    }
    milliseconds pathTime()
    {
        return m_random.below(20) == 0 ? 150ms : milliseconds(1 + m_random.below(20));
    }

    void send(std::size_t from, std::unordered_set<std::string> tried)
    {
        m_requests += tried.empty() ? 1 : 0;
        PlacementRequest request;
        request.service = &m_service;
        request.tried = std::move(tried);
        const auto choice = m_instances[from]->placement.choose(request, m_now);
        if (!choice)
            return;
        const ServerStatePtr server = choice->server;
        request.tried.insert(server->key);
        ServerTable::requestSent(*server, m_now);
        ++server->own.inFlight;
        add(m_now + pathTime(),
            [this, from, server, tried = request.tried, sentAt = m_now]() mutable {
                arrive(from, server, std::move(tried), sentAt);
            });
    }
    void arrive(std::size_t from, const ServerStatePtr &server,
                std::unordered_set<std::string> tried, SteadyTime sentAt)
    {
        const Path path { from, server->key };
        m_arrivals[path].push_back(m_now);
        const bool mayShed =
            m_now < Start + SheddingUntil && std::stoul(server->info.id.substr(2)) < Shedding;
        if (!mayShed || m_random.uniform() >= ShedShare) {
            ++m_served;
            add(m_now + 60ms, [server, sentAt] {
                --server->own.inFlight;
                ServerTable::requestAccepted(*server, sentAt);
            });
            return;
        }
        constexpr std::array Rests { 700ms, 1500ms, 3000ms };
        const milliseconds rest = Rests.at(m_random.below(Rests.size()));
        m_rests[path].emplace_back(m_now, m_now + rest);
        add(m_now + pathTime(), [this, from, server, tried = std::move(tried), rest] {
            --server->own.inFlight;
            m_instances[from]->servers.askedForRest(*server, m_now + rest, m_now);
            if (tried.size() < 2)
                send(from, tried);
        });
    }

    Random m_random;
    Service m_service;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::priority_queue<Event> m_events;
    std::size_t m_number = 0;
    SteadyTime m_now = Start;
    std::map<Path, std::vector<SteadyTime>> m_arrivals;
    std::map<Path, std::vector<std::pair<SteadyTime, SteadyTime>>> m_rests;
    int m_requests = 0;
    int m_served = 0;
};

// Guards against requests to servers that rest, at any size of the fleet, with requests on their
// way, series of rests, and entries that lapse and come back; and against callers that are refused
// although half of the servers are free.
TEST(RestModel, NoInstanceSendsMoreThanIsOnItsWay)
{
    for (const std::size_t instances : { 1U, 9U, 60U, 300U }) {
        for (const std::uint64_t seed : { 1U, 2U, 3U }) {
            RestModel model(instances, seed, true);
            model.run();
            EXPECT_LE(model.mostInRest(), AllowedInRest) << instances << " instances, " << seed;
            EXPECT_GE(model.served(), MinServed) << instances << " instances, " << seed;
        }
    }
}

} // namespace
} // namespace snipestall::serving
