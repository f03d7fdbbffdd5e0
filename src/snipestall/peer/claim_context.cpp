#include "snipestall/peer/claim_context.hpp"

#include "snipestall/base/rendezvous.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace snipestall::peer {

using std::chrono::milliseconds;

namespace {

/// Writes that may come at once after a quiet time: a batch of claims, its retry after a conflict,
/// and their outcomes, without waiting.
constexpr int WriteBurst = 5;

std::chrono::nanoseconds paceOf(double writesPerSecond)
{
    constexpr double NanosecondsInASecond = 1e9;
    return std::chrono::nanoseconds(
        static_cast<std::int64_t>(NanosecondsInASecond / writesPerSecond));
}

} // namespace

ClaimContext::ClaimContext(boost::asio::io_context &context, platform::TableService &service,
                           const Clock &source, std::string instance, ClaimOptions chosen)
    : io(context)
    , table(service)
    , clock(source)
    , options(chosen)
    , m_tokenPrefix(std::move(instance) + "."
                    + std::to_string(source.wallNow().time_since_epoch().count()))
    , m_random(stableHash(m_tokenPrefix))
{
    // Two starts of one instance name within one tick of the wall clock still differ.
    m_tokenPrefix += "." + std::to_string(source.steadyNow().time_since_epoch().count());
}

std::string ClaimContext::nextToken()
{
    return m_tokenPrefix + "." + std::to_string(++m_tokens);
}

wire::Task<void> ClaimContext::pause(int tries)
{
    constexpr int MostDoublings = 16;
    const milliseconds doubled = options.firstPause * (1 << std::min(tries, MostDoublings));
    const milliseconds whole = std::min(doubled, options.longestPause);
    const auto half = static_cast<std::uint64_t>(whole.count()) / 2;
    const milliseconds jitter(static_cast<std::int64_t>(m_random.below(half + 1)));
    co_await pauseFor(whole / 2 + jitter);
}

wire::Task<void> ClaimContext::pauseFor(milliseconds time)
{
    boost::asio::steady_timer timer(io, time);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

milliseconds ClaimContext::writeDelay() const
{
    if (options.writesPerSecond <= 0)
        return milliseconds(0);
    const auto ahead = m_evenPace - clock.steadyNow();
    const auto mayBeAhead = WriteBurst * paceOf(options.writesPerSecond);
    return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(ahead - mayBeAhead));
}

void ClaimContext::countWrite()
{
    ++counters.transactions;
    if (options.writesPerSecond > 0)
        m_evenPace = std::max(m_evenPace, clock.steadyNow()) + paceOf(options.writesPerSecond);
}

void ClaimContext::returnWrite()
{
    if (options.writesPerSecond > 0)
        m_evenPace -= paceOf(options.writesPerSecond);
}

wire::Task<Result<platform::TransactionOutcome>>
ClaimContext::transact(platform::Transaction transaction)
{
    countWrite();
    counters.rowWrites += transaction.writes.size();
    auto outcome = co_await table.transact(std::move(transaction));
    // Tries that never reached the table in a long outage must not be paid for after it: with a
    // share of a write a second, a minute of tries would hold up claims for minutes.
    if (!outcome && outcome.error().kind == ErrorKind::Unavailable)
        returnWrite();
    co_return outcome;
}

wire::Task<Result<std::vector<platform::Row>>>
ClaimContext::read(std::vector<platform::RowKey> keys)
{
    ++counters.reads;
    co_return co_await table.read(std::move(keys));
}

} // namespace snipestall::peer
