// Measures the calls, bytes and processor time that an instance needs for a claim, a settings
// change, a settings poll and a lease renewal of the steward, against a running platform.
//
//     build/bin/standin-platform --listen=127.0.0.1:7000
//     build/bin/platform_cost --platform 127.0.0.1:7000

#include "snipestall/base/system_clock.hpp"
#include "snipestall/peer/claim_keeper.hpp"
#include "snipestall/peer/settings_store.hpp"
#include "snipestall/peer/steward.hpp"
#include "snipestall/platform/http_platform.hpp"
#include "snipestall/platform/run_task.hpp"

#include <gflags/gflags.h>

#include <cstdio>
#include <ctime>
#include <fstream>
#include <iterator>

DEFINE_string(platform, "127.0.0.1:7000", "address of the platform");
DEFINE_string(settings, "examples/settings/karadeniz.yaml",
              "settings document that each change stores");

namespace snipestall {
namespace {

using namespace std::chrono_literals;
using platform::PlatformCounters;
using wire::Task;

/// The processor time and the platform counters at one point in time.
struct Snapshot
{
    std::clock_t processorTime = std::clock();
    PlatformCounters counters;
};

class PlatformCost
{
public:
    explicit PlatformCost(const wire::Endpoint &endpoint)
        : m_platform(platform::HttpPlatform::create(m_io, endpoint, m_clock))
    { }

    void measureClaims(int count, int concurrency)
    {
        peer::ClaimOptions options;
        options.writesPerSecond = 0;
        const auto keeper = peer::ClaimKeeper::create(m_io, *m_platform, m_clock, "bench", options);
        const Snapshot before = takeSnapshot();
        for (int first = 0; first < count; first += concurrency)
            claimConcurrently(*keeper, concurrency, first);
        printRow("claim + outcome, " + std::to_string(concurrency) + " at once", count, before);
    }

    void measureSettings(int count)
    {
        peer::SettingsStore store(*m_platform, m_clock);
        std::ifstream file(FLAGS_settings);
        const std::string yaml(std::istreambuf_iterator<char>(file), {});
        const std::string runId = std::to_string(m_clock.wallNow().time_since_epoch().count());
        auto head = platform::runTask(m_io, store.head());
        std::uint64_t version = head.value().version;
        const Snapshot beforeChanges = takeSnapshot();
        for (int i = 0; i < count; ++i) {
            peer::SettingsChange change {
                runId + std::to_string(i), version, "bench", "", {}, yaml
            };
            version = platform::runTask(m_io, store.change(std::move(change))).value().version;
        }
        printRow("settings change", count, beforeChanges);
        const Snapshot beforePolls = takeSnapshot();
        for (int i = 0; i < count; ++i)
            platform::runTask(m_io, store.headVersion());
        printRow("poll of the settings' head", count, beforePolls);
    }

    void measureSteward(int rounds)
    {
        peer::StewardOptions options;
        options.renewInterval = 1ms;
        const auto steward =
            peer::Steward::create(m_io, *m_platform, m_clock, "bench-hall", "bench", 1, options);
        const Snapshot before = takeSnapshot();
        steward->start();
        const std::uint64_t targetCount = before.counters.transactions + rounds;
        platform::runUntil(m_io,
                           [&] { return m_platform->counters().transactions >= targetCount; });
        printRow("renewal of the lease", rounds, before);
        boost::asio::co_spawn(m_io, steward->stop(), boost::asio::detached);
        platform::runUntilIdle(m_io);
    }

private:
    [[nodiscard]] Snapshot takeSnapshot() const { return { std::clock(), m_platform->counters() }; }

    void claimConcurrently(peer::ClaimKeeper &keeper, int count, int first)
    {
        const std::string runId = std::to_string(m_clock.wallNow().time_since_epoch().count());
        for (int i = 0; i < count; ++i) {
            const std::string attempt = runId + "." + std::to_string(first + i);
            boost::asio::co_spawn(m_io, claimAndStore(keeper, attempt), boost::asio::detached);
        }
        platform::runUntilIdle(m_io);
    }

    Task<void> claimAndStore(peer::ClaimKeeper &keeper, std::string attempt)
    {
        const peer::ClaimKey key { "harbour-office", "airtime-ledger", attempt };
        peer::ClaimRequest request { key, attempt, attempt, std::string(64, 'h'),
                                     m_clock.steadyNow() + 10s };
        const auto outcome = co_await keeper.claim(std::move(request));
        if (outcome.verdict != peer::ClaimVerdict::Granted)
            co_return;
        peer::StoredOutcome stored { 200, "application/json", std::string(300, 'x'), "completed" };
        keeper.storeOutcome(key, attempt, std::move(stored));
    }

    void printRow(const std::string &operation, int count, const Snapshot &before) const
    {
        const Snapshot now = takeSnapshot();
        const auto perOperation = [count](auto after, auto start) {
            return static_cast<double>(after - start) / count;
        };
        const double microseconds = perOperation(now.processorTime, before.processorTime) * 1e6
            / static_cast<double>(CLOCKS_PER_SEC);
        std::printf("%-34s %8.3f %8.3f %8.3f %9.0f %9.0f %8.0f\n", operation.c_str(),
                    perOperation(now.counters.transactions, before.counters.transactions),
                    perOperation(now.counters.rowWrites, before.counters.rowWrites),
                    perOperation(now.counters.reads, before.counters.reads),
                    perOperation(now.counters.bytesOut, before.counters.bytesOut),
                    perOperation(now.counters.bytesIn, before.counters.bytesIn), microseconds);
    }

    boost::asio::io_context m_io;
    SystemClock m_clock;
    std::unique_ptr<platform::HttpPlatform> m_platform;
};

} // namespace
} // namespace snipestall

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto endpoint = snipestall::wire::Endpoint::parse(FLAGS_platform);
    if (!endpoint) {
        std::fprintf(stderr, "%s\n", endpoint.error().message.c_str());
        return 2;
    }
    snipestall::PlatformCost platformCost(*endpoint);
    std::printf("%-34s %8s %8s %8s %9s %9s %8s\n", "each", "transact", "rows", "reads", "bytes out",
                "bytes in", "cpu us");
    for (const int concurrency : { 1, 10, 100 })
        platformCost.measureClaims(concurrency == 1 ? 100 : 2000, concurrency);
    platformCost.measureSettings(200);
    platformCost.measureSteward(200);
    return 0;
}
