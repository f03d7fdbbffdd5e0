// Measures the transactions, row writes, reads and waiting time of claims, by arrival rate and
// batch window.
//
//     build/bin/claim_writes --table_ms 4 --seconds 2

#include "snipestall/base/random.hpp"
#include "snipestall/base/system_clock.hpp"
#include "snipestall/peer/claim_keeper.hpp"
#include "snipestall/platform/fake_table_service.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <utility>
#include <vector>

DEFINE_int32(table_ms, 4, "delay of each transaction and read of the table, in ms");
DEFINE_double(writes_per_second, 25,
              "most transactions a second that the instance sends to the table; 0: no limit");
DEFINE_int32(seconds, 2, "length of each run, in s");

namespace snipestall {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using wire::Task;

Task<void> sleepFor(boost::asio::io_context &io, std::chrono::nanoseconds duration)
{
    boost::asio::steady_timer timer(io, duration);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

/// Delays each transaction and each read by a fixed time; scans are not delayed.
class DelayedTable final : public platform::TableService
{
public:
    DelayedTable(boost::asio::io_context &io, milliseconds delay)
        : m_io(io)
        , m_delay(delay)
        , m_table(io)
    { }

    Task<Result<platform::TransactionOutcome>> transact(platform::Transaction transaction) override
    {
        co_await sleepFor(m_io, m_delay);
        co_return co_await m_table.transact(std::move(transaction));
    }

    Task<Result<std::vector<platform::Row>>> read(std::vector<platform::RowKey> keys) override
    {
        co_await sleepFor(m_io, m_delay);
        co_return co_await m_table.read(std::move(keys));
    }

    Task<Result<std::vector<platform::Row>>> scan(std::string table, std::string prefix,
                                                  std::string after, std::size_t limit) override
    {
        co_return co_await m_table.scan(std::move(table), std::move(prefix), std::move(after),
                                        limit);
    }

private:
    boost::asio::io_context &m_io;
    milliseconds m_delay;
    platform::FakeTableService m_table;
};

/// Sends claims to one instance at one arrival rate and with one batch window.
class ClaimBenchmark
{
public:
    ClaimBenchmark(int rate, milliseconds window)
        : m_rate(rate)
        , m_window(window)
    {
        peer::ClaimOptions options;
        options.batchWindow = window;
        options.writesPerSecond = FLAGS_writes_per_second;
        m_keeper = peer::ClaimKeeper::create(m_io, m_table, m_clock, "bench", options);
    }

    void execute()
    {
        boost::asio::co_spawn(m_io, sendClaims(), boost::asio::detached);
        m_io.run();
        printRow();
    }

private:
    Task<void> sendClaims()
    {
        const SteadyTime end = m_clock.steadyNow() + std::chrono::seconds(FLAGS_seconds);
        SteadyTime nextArrival = m_clock.steadyNow();
        for (int i = 0; nextArrival < end; ++i) {
            boost::asio::co_spawn(m_io, claimAndStore(i), boost::asio::detached);
            const double intervalNs = m_random.exponential(1e9 / m_rate);
            nextArrival += std::chrono::nanoseconds(static_cast<std::int64_t>(intervalNs));
            co_await sleepFor(m_io, nextArrival - m_clock.steadyNow());
        }
    }

    Task<void> claimAndStore(int claimNumber)
    {
        const SteadyTime requestedAt = m_clock.steadyNow();
        const std::string attempt = std::to_string(claimNumber);
        const peer::ClaimKey key { "kiyi", "ledger", attempt };
        peer::ClaimRequest request { key, attempt, attempt, "hash",
                                     requestedAt + std::chrono::seconds(5) };
        const auto outcome = co_await m_keeper->claim(std::move(request));
        m_claimTimes.push_back(duration_cast<microseconds>(m_clock.steadyNow() - requestedAt));
        if (outcome.verdict != peer::ClaimVerdict::Granted)
            co_return;
        peer::StoredOutcome stored { 200, "application/json", std::string(300, 'x'), "completed" };
        m_keeper->storeOutcome(key, attempt, std::move(stored));
    }

    void printRow()
    {
        const peer::ClaimCounters counters = m_keeper->counters();
        const double thousandClaims = static_cast<double>(counters.claims) / 1000.0;
        std::ranges::sort(m_claimTimes);
        const auto quantileMs = [this](double quantile) {
            const auto index =
                static_cast<std::size_t>(quantile * static_cast<double>(m_claimTimes.size() - 1));
            return static_cast<double>(m_claimTimes[index].count()) / 1000.0;
        };
        std::printf("%6d %7d %8llu %8llu %10.0f %10.0f %10.0f %8.1f %8.1f %8.1f\n", m_rate,
                    static_cast<int>(m_window.count()),
                    static_cast<unsigned long long>(counters.claims),
                    static_cast<unsigned long long>(counters.granted),
                    static_cast<double>(counters.transactions) / thousandClaims,
                    static_cast<double>(counters.rowWrites) / thousandClaims,
                    static_cast<double>(counters.reads) / thousandClaims,
                    static_cast<double>(counters.transactions) / FLAGS_seconds, quantileMs(0.5),
                    quantileMs(0.95));
    }

    int m_rate;
    milliseconds m_window;
    boost::asio::io_context m_io;
    SystemClock m_clock;
    DelayedTable m_table { m_io, milliseconds(FLAGS_table_ms) };
    std::unique_ptr<peer::ClaimKeeper> m_keeper;
    Random m_random { 1 };
    std::vector<microseconds> m_claimTimes;
};

} // namespace
} // namespace snipestall

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::printf("%6s %7s %8s %8s %10s %10s %10s %8s %8s %8s\n", "rate/s", "win ms", "claims",
                "granted", "trans/1k", "rows/1k", "reads/1k", "trans/s", "p50 ms", "p95 ms");
    for (const int rate : { 20, 100, 500, 2000 }) {
        for (const int window : { 0, 2, 5, 10, 20 })
            snipestall::ClaimBenchmark(rate, std::chrono::milliseconds(window)).execute();
    }
    return 0;
}
