// Tests of streams that are taken up after all instances were killed, while servers of several
// software versions serve, over the whole path on loopback.

#include "stream_origin_fixture.hpp"

#include "snipestall/serving/stream_records.hpp"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using wire::Task;

/// Part of the streams that has to go on after a kill of all instances.
constexpr double MinAfterKillOfAll = 0.9;
constexpr auto GroupsTable = "stream-groups";

class StreamKillAllTest : public StreamOriginTest
{
protected:
    StreamKillAllTest()
    {
        m_third.setVersion("v3");
        publishAll(GatewayTestConfig, m_apart);
        startAll();
    }

    void startAll()
    {
        for (std::size_t i = 0; i < m_instances.size(); ++i)
            m_gateways.push_back(
                startKillable("edge-" + std::to_string(i + 2), m_instances[i], m_apart));
    }
    void killAll()
    {
        for (const auto &gateway : m_gateways)
            gateway->kill();
        m_gateways.clear();
    }

    Task<void> untilAllServe(std::size_t servers = 4)
    {
        for (const Instance &instance : m_instances)
            co_await untilServing(instance.metrics, servers);
    }

    /// Begins streams until all versions have begun one, at most for some seconds.
    Task<void> untilVersionsBegin(std::size_t count)
    {
        std::set<std::string> seen;
        const auto until = std::chrono::steady_clock::now() + 10s;
        while (seen.size() < count && std::chrono::steady_clock::now() < until) {
            const StreamPart part = co_await call(m_instances[0].callers, m_fresh);
            seen.insert(part.versions.begin(), part.versions.end());
            co_await wire::sleepFor(10ms);
        }
        EXPECT_EQ(seen.size(), count);
    }

    /// Whether the store has a record of an attempt.
    bool isStored(const std::string &attempt)
    {
        const std::uint64_t key = serving::StreamRecords::keyOf("harbour", attempt);
        std::string bytes;
        for (unsigned i = 0; i < sizeof(key); ++i)
            bytes += static_cast<char>(key >> (8 * i));
        return std::ranges::any_of(m_apart.rowsOf(GroupsTable),
                                   [&bytes](const platform::StoredRow &row) {
                                       return row.value.find(bytes) != std::string::npos;
                                   });
    }
    /// Waits until all attempts are recorded in the store, at most for some seconds.
    Task<void> untilStored(const std::vector<StreamPart> &parts)
    {
        const auto until = std::chrono::steady_clock::now() + 5s;
        const auto stored = [this](const StreamPart &part) { return isStored(part.attempt); };
        while (!std::ranges::all_of(parts, stored) && std::chrono::steady_clock::now() < until)
            co_await wire::sleepFor(20ms);
    }

    /// Takes all streams up, each at another instance than the one before. Returns those that went
    /// on, and checks that all others are refused as not run.
    Task<std::vector<StreamPart>> resumeEach(const std::vector<StreamPart> &begun)
    {
        std::vector<StreamPart> continued;
        std::size_t at = 0;
        for (const StreamPart &first : begun) {
            StreamPart rest =
                co_await resume(first, m_instances[++at % m_instances.size()].callers);
            if (rest.status != 200) {
                EXPECT_EQ(rest.status, 503U);
                EXPECT_TRUE(rest.hasRetryAfter);
                continue;
            }
            EXPECT_EQ(rest.versions, first.versions) << first.attempt;
            if (rest.last > first.last)
                continued.push_back(std::move(rest));
        }
        co_return continued;
    }

    static double part(const std::vector<StreamPart> &some, const std::vector<StreamPart> &all)
    {
        return static_cast<double>(some.size()) / static_cast<double>(all.size());
    }

    std::vector<Instance> m_instances = std::vector<Instance>(3);
    std::vector<std::unique_ptr<KillableGateway>> m_gateways;
};

// Guards against the refusal of all streams, and against a stream of two versions, when all
// instances were killed while three versions had begun streams; and again after a second kill.
TEST_F(StreamKillAllTest, StreamsOfThreeVersionsGoOnAfterEachKillOfAllInstances)
{
    run([this]() -> Task<void> {
        co_await untilAllServe();
        co_await untilVersionsBegin(3);
        const auto begun = co_await begin(m_instances[0].callers);
        co_await untilStored(begun);
        killAll();
        startAll();
        co_await untilAllServe();
        const auto once = co_await resumeEach(begun);
        EXPECT_GE(part(once, begun), MinAfterKillOfAll);
        co_await untilStored(once);
        killAll();
        startAll();
        co_await untilAllServe();
        // By the attempt that went on, and by the one that began the stream.
        EXPECT_GE(part(co_await resumeEach(once), begun), MinAfterKillOfAll);
        EXPECT_GE(part(co_await resumeEach(begun), begun), MinAfterKillOfAll);
    });
}

// Guards against streams that go on at another version when theirs has no server any more, and
// against the loss of the others.
TEST_F(StreamKillAllTest, StreamsOfAVersionThatHasLeftAreRefused)
{
    run([this]() -> Task<void> {
        co_await untilAllServe();
        co_await untilVersionsBegin(3);
        const auto begun = co_await begin(m_instances[0].callers);
        co_await untilStored(begun);
        killAll();
        m_apart.remove({ "servers", "", m_third.id() });
        startAll();
        co_await untilAllServe(3);
        const auto canGoOn = std::ranges::count_if(
            begun, [](const StreamPart &each) { return !each.versions.contains("v3"); });
        const auto continued = co_await resumeEach(begun);
        EXPECT_GE(static_cast<double>(continued.size()),
                  MinAfterKillOfAll * static_cast<double>(canGoOn));
        EXPECT_LE(continued.size(), static_cast<std::size_t>(canGoOn));
    });
}

// Guards against a guess after a kill of all instances when the store has no records, and against
// streams that wait for the store when they begin.
TEST_F(StreamKillAllTest, StreamsWithoutARecordAreRefused)
{
    run([this]() -> Task<void> {
        co_await untilAllServe();
        co_await untilVersionsBegin(3);
        m_apart.refuseWrites(true);
        const auto begun = co_await begin(m_instances[0].callers);
        killAll();
        m_apart.refuseWrites(false);
        startAll();
        co_await untilAllServe();
        const auto continued = co_await resumeEach(begun);
        EXPECT_TRUE(continued.empty());
    });
}

} // namespace
} // namespace snipestall::gateway
