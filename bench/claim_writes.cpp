// How many transactions, rows and milliseconds claims cost, by arrival rate and batch window.
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

DEFINE_int32(table_ms, 4, "time that the table takes for each call");
DEFINE_double(writes_per_second, 25, "this instance's share of the table's writes; 0: no limit");
DEFINE_int32(seconds, 2, "length of each run");

namespace snipestall {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using wire::Task;

Task<void> sleepFor(boost::asio::io_context &io, std::chrono::nanoseconds time)
{
    boost::asio::steady_timer timer(io, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

/// A table that takes its time.
class SlowTable final : public platform::TableService
{
public:
    SlowTable(boost::asio::io_context &io, milliseconds time)
        : m_io(io)
        , m_time(time)
        , m_table(io)
    { }

    Task<Result<platform::TransactionOutcome>> transact(platform::Transaction transaction) override
    {
        co_await sleepFor(m_io, m_time);
        co_return co_await m_table.transact(std::move(transaction));
    }

    Task<Result<std::vector<platform::Row>>> read(std::vector<platform::RowKey> keys) override
    {
        co_await sleepFor(m_io, m_time);
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
    milliseconds m_time;
    platform::FakeTableService m_table;
};

/// One instance with one arrival rate and one batch window.
class Run
{
public:
    Run(int rate, milliseconds window)
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
        boost::asio::co_spawn(m_io, arrivals(), boost::asio::detached);
        m_io.run();
        report();
    }

private:
    Task<void> arrivals()
    {
        const SteadyTime end = m_clock.steadyNow() + std::chrono::seconds(FLAGS_seconds);
        SteadyTime next = m_clock.steadyNow();
        for (int i = 0; next < end; ++i) {
            boost::asio::co_spawn(m_io, claimOnce(i), boost::asio::detached);
            const double pause = m_random.exponential(1e9 / m_rate);
            next += std::chrono::nanoseconds(static_cast<std::int64_t>(pause));
            co_await sleepFor(m_io, next - m_clock.steadyNow());
        }
    }

    Task<void> claimOnce(int number)
    {
        const SteadyTime asked = m_clock.steadyNow();
        const std::string attempt = std::to_string(number);
        const peer::ClaimKey key { "kiyi", "ledger", attempt };
        peer::ClaimRequest request { key, attempt, attempt, "hash",
                                     asked + std::chrono::seconds(5) };
        const auto outcome = co_await m_keeper->claim(std::move(request));
        m_waits.push_back(duration_cast<microseconds>(m_clock.steadyNow() - asked));
        if (outcome.verdict != peer::ClaimVerdict::Granted)
            co_return;
        peer::StoredOutcome stored { 200, "application/json", std::string(300, 'x'), "completed" };
        m_keeper->storeOutcome(key, attempt, std::move(stored));
    }

    void report()
    {
        const peer::ClaimCounters counters = m_keeper->counters();
        const double thousands = static_cast<double>(counters.claims) / 1000.0;
        std::ranges::sort(m_waits);
        const auto wait = [this](double part) {
            const auto at =
                static_cast<std::size_t>(part * static_cast<double>(m_waits.size() - 1));
            return static_cast<double>(m_waits[at].count()) / 1000.0;
        };
        std::printf(
            "%6d %7d %8llu %8llu %10.0f %10.0f %10.0f %8.1f %8.1f %8.1f\n", m_rate,
            static_cast<int>(m_window.count()), static_cast<unsigned long long>(counters.claims),
            static_cast<unsigned long long>(counters.granted),
            static_cast<double>(counters.transactions) / thousands,
            static_cast<double>(counters.rowWrites) / thousands,
            static_cast<double>(counters.reads) / thousands,
            static_cast<double>(counters.transactions) / FLAGS_seconds, wait(0.5), wait(0.95));
    }

    int m_rate;
    milliseconds m_window;
    boost::asio::io_context m_io;
    SystemClock m_clock;
    SlowTable m_table { m_io, milliseconds(FLAGS_table_ms) };
    std::unique_ptr<peer::ClaimKeeper> m_keeper;
    Random m_random { 1 };
    std::vector<microseconds> m_waits;
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
            snipestall::Run(rate, std::chrono::milliseconds(window)).execute();
    }
    return 0;
}
