// A model of how instances pass on which version began a stream, in simulated time and without
// sockets.

#include "snipestall/base/random.hpp"
#include "snipestall/base/rendezvous.hpp"
#include "snipestall/gateway/report_book.hpp"
#include "snipestall/gateway/stream_exchange.hpp"
#include "snipestall/serving/peer_calls.hpp"
#include "snipestall/serving/stream_records.hpp"

#include "exchange.pb.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
namespace v1 = exchange::v1;

constexpr milliseconds Tick { 20 };
constexpr milliseconds StreamLength { 6000 };
constexpr milliseconds KeptFor { 15000 };
constexpr int DataCentres = 4;
constexpr std::size_t LargeFleet = 300;
constexpr int MinTakenUp = 15;
/// A killed process is back after this long, and its callers come back within twice this time.
constexpr milliseconds DownFor { 800 };

enum class Fault {
    KillOne,
    KillMost,
    KillAll,
    /// Each process is killed in turn while the streams of the one before are taken up.
    KillInTurn,
    /// A data centre loses its path to the others, and the processes of another one are killed.
    CutOneKillOther,
};

struct FleetCase
{
    const char *name;
    std::size_t instances;
    Fault fault;
    /// Part of the broken streams whose origin has to be known, of those that began this long
    /// before.
    double minKnown;
    milliseconds countedFrom { 0 };
};

std::string nameOf(const testing::TestParamInfo<FleetCase> &info)
{
    return std::to_string(info.param.instances) + info.param.name;
}

class StreamFleet
{
public:
    StreamFleet(std::size_t instances, std::uint64_t seed)
        : m_random(seed)
    {
        m_downUntil.resize(instances);
        for (std::size_t i = 0; i < instances; ++i) {
            m_names.push_back("edge-" + std::to_string(i));
            m_byName[m_names[i]] = i;
        }
        for (std::size_t i = 0; i < instances; ++i)
            m_instances.push_back(start(i));
    }

    void run(milliseconds length)
    {
        const SteadyTime until = m_now + length;
        while (m_now < until) {
            m_now += Tick;
            for (std::size_t i = 0; i < m_instances.size(); ++i) {
                if (!m_instances[i] && m_downUntil[i] <= m_now)
                    m_instances[i] = start(i);
            }
            for (std::size_t i = 0; i < m_instances.size(); ++i)
                exchange(i);
            beginStreams();
            takeUpStreams();
        }
    }

    /// Ends processes. The callers of their streams take them up at other instances soon after.
    void kill(const std::vector<std::size_t> &indices)
    {
        for (const std::size_t i : indices) {
            m_instances[i].reset();
            m_downUntil[i] = m_now + DownFor;
        }
        for (Stream &stream : m_streams) {
            const bool broken = std::ranges::find(indices, stream.instance) != indices.end()
                && stream.endsAt > m_now && !stream.takenUpAt;
            if (!broken)
                continue;
            stream.takenUpAt = m_now + Tick + milliseconds(m_random.below(2 * DownFor.count()));
            stream.counted = m_now - stream.begunAt >= m_countedFrom;
        }
    }
    void cut(std::size_t dataCentre) { m_cutDataCentre = dataCentre; }
    /// Counts only streams that began this long before their instance ended.
    void countFrom(milliseconds age) { m_countedFrom = age; }

    [[nodiscard]] std::size_t size() const { return m_instances.size(); }
    /// Part of the streams that were taken up whose origin was known.
    [[nodiscard]] double known() const { return m_takenUp == 0 ? 0 : double(m_known) / m_takenUp; }
    [[nodiscard]] int takenUp() const { return m_takenUp; }
    [[nodiscard]] int wrong() const { return m_wrong; }
    [[nodiscard]] double queriesPerStream() const { return double(m_queries) / m_takenUp; }
    /// Bytes of records that an instance sends in a second for each stream that begins in a second.
    [[nodiscard]] double bytesPerStream() const
    {
        return double(m_bytes) / m_begun / double(m_instances.size());
    }
    [[nodiscard]] std::size_t mostRecords() const { return m_mostRecords; }

private:
    struct Instance
    {
        std::string process;
        serving::PeerCalls calls;
        ReportBook book;
        serving::StreamRecords records;
        StreamExchange streams { records };

        Instance(const std::string &name, const serving::OverlayPeer &own, std::string given,
                 std::uint64_t seed)
            : process(std::move(given))
            , calls(name, own)
            , records(seed)
        { }
    };
    struct Stream
    {
        std::uint64_t key = 0;
        serving::StreamOrigin origin;
        std::size_t instance = 0;
        SteadyTime begunAt;
        SteadyTime endsAt;
        std::optional<SteadyTime> takenUpAt;
        bool counted = true;
    };

    [[nodiscard]] static serving::OverlayPeer peerInfo(std::size_t i)
    {
        return { "dc-" + std::to_string(i % DataCentres), i % 5 == 0 ? 500U : 120U };
    }

    std::unique_ptr<Instance> start(std::size_t i)
    {
        auto instance = std::make_unique<Instance>(m_names[i], peerInfo(i),
                                                   m_names[i] + "/" + std::to_string(++m_starts),
                                                   m_random.next());
        for (std::size_t other = 0; other < m_names.size(); ++other) {
            if (other != i)
                instance->calls.addPeer(m_names[other], peerInfo(other));
        }
        return instance;
    }

    [[nodiscard]] bool reaches(std::size_t from, std::size_t to) const
    {
        if (!m_instances[from] || !m_instances[to])
            return false;
        const auto isCut = [this](std::size_t i) {
            return m_cutDataCentre && i % DataCentres == *m_cutDataCentre;
        };
        return isCut(from) == isCut(to);
    }

    v1::LoadReport report(std::size_t from, std::size_t to)
    {
        Instance &sender = *m_instances[from];
        v1::LoadReport own;
        own.set_instance(m_names[from]);
        own.set_process(sender.process);
        const bool asMember = !sender.calls.overlay().isHub() && !sender.book.hasMembers(m_now);
        v1::LoadReport report = sender.book.reportFor(m_names[to], own, asMember, m_now);
        sender.streams.addTo(report, m_names[to], m_now);
        m_bytes += report.streams().ByteSizeLong();
        return report;
    }

    void receive(std::size_t at, const v1::LoadReport &report)
    {
        Instance &receiver = *m_instances[at];
        receiver.calls.reportReceived(report.instance(), m_now);
        receiver.book.addReport(report, m_now);
        receiver.streams.reportReceived(report, m_now);
        m_mostRecords = std::max(m_mostRecords, receiver.records.size());
    }

    void exchange(std::size_t i)
    {
        if (!m_instances[i])
            return;
        Instance &instance = *m_instances[i];
        for (const std::string &name :
             instance.calls.dueCalls(m_now, instance.book.hasMembers(m_now))) {
            const std::size_t peer = m_byName.at(name);
            if (!reaches(i, peer)) {
                instance.calls.callFailed(name, m_now);
                continue;
            }
            // A part of the reports arrive and their answers are lost.
            const bool lost = m_random.below(50) == 0;
            receive(peer, report(i, peer));
            instance.calls.callAnswered(name);
            if (!lost)
                receive(i, report(peer, i));
        }
    }

    void beginStreams()
    {
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            if (!m_instances[i] || m_random.below(8) != 0)
                continue;
            Stream stream;
            stream.key = ++m_lastKey * 0x9e3779b97f4a7c15U;
            stream.origin = { "lm", "v" + std::to_string(m_random.below(3)) };
            stream.instance = i;
            stream.begunAt = m_now;
            stream.endsAt = m_now + StreamLength;
            m_instances[i]->records.add({ stream.key, stream.origin, KeptFor }, m_now);
            ++m_begun;
            m_streams.push_back(std::move(stream));
        }
        std::erase_if(m_streams, [this](const Stream &stream) {
            return stream.endsAt <= m_now && !stream.takenUpAt;
        });
    }

    void takeUpStreams()
    {
        for (Stream &stream : m_streams) {
            if (!stream.takenUpAt || *stream.takenUpAt > m_now)
                continue;
            const std::size_t at = m_random.below(m_instances.size());
            if (!m_instances[at])
                continue;
            stream.takenUpAt.reset();
            const auto origin = resolve(at, stream.key);
            m_takenUp += stream.counted ? 1 : 0;
            m_known += stream.counted && origin ? 1 : 0;
            m_wrong += origin && *origin != stream.origin ? 1 : 0;
            if (!origin)
                stream.endsAt = m_now;
            else
                m_instances[at]->records.add({ stream.key, *origin, KeptFor }, m_now);
            stream.instance = at;
        }
    }

    /// Returns what the instance finds out by itself, or by asking the others in their order.
    std::optional<serving::StreamOrigin> resolve(std::size_t at, std::uint64_t key)
    {
        if (const auto own = m_instances[at]->records.find(key, m_now))
            return own->origin;
        m_instances[at]->calls.updateOverlay();
        const serving::Overlay &overlay = m_instances[at]->calls.overlay();
        std::vector<std::string> order = overlay.targets();
        for (const std::string &hub :
             rendezvousOrder(std::to_string(m_random.next()), overlay.hubs())) {
            if (std::ranges::find(order, hub) == order.end())
                order.push_back(hub);
        }
        for (const std::string &name : order) {
            const std::size_t peer = m_byName.at(name);
            ++m_queries;
            if (!reaches(at, peer))
                continue;
            if (const auto known = m_instances[peer]->records.find(key, m_now))
                return known->origin;
        }
        return std::nullopt;
    }

    Random m_random;
    SteadyTime m_now { 100s };
    std::vector<std::string> m_names;
    std::map<std::string, std::size_t> m_byName;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<SteadyTime> m_downUntil;
    std::optional<std::size_t> m_cutDataCentre;
    milliseconds m_countedFrom { 0 };
    std::vector<Stream> m_streams;
    std::uint64_t m_lastKey = 0;
    int m_starts = 0;
    int m_begun = 0;
    int m_takenUp = 0;
    int m_known = 0;
    int m_wrong = 0;
    int m_queries = 0;
    std::size_t m_bytes = 0;
    std::size_t m_mostRecords = 0;
};

std::vector<std::size_t> chosen(std::size_t count, const std::function<bool(std::size_t)> &wanted)
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < count; ++i) {
        if (wanted(i))
            indices.push_back(i);
    }
    return indices;
}

void disturb(StreamFleet &fleet, Fault fault, Random &random)
{
    const std::size_t size = fleet.size();
    switch (fault) {
    case Fault::KillOne:
        fleet.kill({ random.below(size) });
        break;
    case Fault::KillMost:
        fleet.kill(chosen(size, [&random](std::size_t) { return random.uniform() < 0.6; }));
        break;
    case Fault::KillAll:
        fleet.kill(chosen(size, [](std::size_t) { return true; }));
        break;
    case Fault::KillInTurn:
        for (std::size_t i = 0; i < size; ++i) {
            fleet.kill({ i });
            fleet.run(milliseconds(12000 / size));
        }
        break;
    case Fault::CutOneKillOther:
        fleet.cut(0);
        fleet.run(1000ms);
        fleet.kill(chosen(size, [](std::size_t i) { return i % DataCentres == 1; }));
        break;
    }
}

class StreamFleetTest : public testing::TestWithParam<FleetCase>
{ };

// Guards against streams that go on at another version, and against those that could go on and are
// lost, since the instance that began them has ended.
TEST_P(StreamFleetTest, OriginsSurviveTheirInstances)
{
    const FleetCase &given = GetParam();
    const std::uint64_t seeds = given.instances < LargeFleet ? 3 : 1;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        StreamFleet fleet(given.instances, seed);
        Random random(seed);
        fleet.countFrom(given.countedFrom);
        fleet.run(6000ms);
        disturb(fleet, given.fault, random);
        fleet.run(3000ms);
        EXPECT_EQ(fleet.wrong(), 0);
        EXPECT_GE(fleet.known(), given.minKnown) << "seed " << seed;
        EXPECT_GT(fleet.takenUp(), MinTakenUp);
        RecordProperty("known", std::to_string(fleet.known()));
        RecordProperty("queries_per_stream", std::to_string(fleet.queriesPerStream()));
        RecordProperty("bytes_per_stream", std::to_string(fleet.bytesPerStream()));
        RecordProperty("most_records", std::to_string(fleet.mostRecords()));
    }
}

/// Parts of the broken streams that have to go on.
constexpr double OneKilled = 0.95;
constexpr double MostKilled = 0.9;

INSTANTIATE_TEST_SUITE_P(
    Fleets, StreamFleetTest,
    testing::Values(FleetCase { "KillOne", 9, Fault::KillOne, OneKilled, 1s },
                    FleetCase { "KillMost", 9, Fault::KillMost, MostKilled },
                    FleetCase { "KillAll", 9, Fault::KillAll, 0 },
                    FleetCase { "KillInTurn", 9, Fault::KillInTurn, OneKilled, 1s },
                    FleetCase { "CutOneKillOther", 9, Fault::CutOneKillOther, 0 },
                    FleetCase { "KillOne", 60, Fault::KillOne, OneKilled, 1s },
                    FleetCase { "KillMost", 60, Fault::KillMost, MostKilled },
                    FleetCase { "KillAll", 60, Fault::KillAll, 0 },
                    FleetCase { "KillInTurn", 60, Fault::KillInTurn, OneKilled, 1s },
                    FleetCase { "CutOneKillOther", 60, Fault::CutOneKillOther, 0 },
                    FleetCase { "KillOne", 300, Fault::KillOne, OneKilled, 1s },
                    FleetCase { "KillMost", 300, Fault::KillMost, MostKilled },
                    FleetCase { "KillAll", 300, Fault::KillAll, 0 },
                    FleetCase { "KillInTurn", 300, Fault::KillInTurn, OneKilled, 1s },
                    FleetCase { "CutOneKillOther", 300, Fault::CutOneKillOther, 0 }),
    nameOf);

} // namespace
} // namespace snipestall::gateway
