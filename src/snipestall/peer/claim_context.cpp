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

/// Writes that may follow each other without delay after an idle period: a batch of claims, its
/// retry after a conflict, and their outcomes.
constexpr int WriteBurst = 5;

std::chrono::nanoseconds writeInterval(double writesPerSecond)
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
    // The monotonic time distinguishes two starts of one instance name within one tick of the wall
    // clock.
    m_tokenPrefix += "." + std::to_string(source.steadyNow().time_since_epoch().count());
}

std::string ClaimContext::nextToken()
{
    return m_tokenPrefix + "." + std::to_string(++m_tokens);
}

wire::Task<void> ClaimContext::backOff(int retries)
{
    constexpr int MaxDoublings = 16;
    const milliseconds doubled = options.initialBackoff * (1 << std::min(retries, MaxDoublings));
    const milliseconds longest = std::min(doubled, options.maxBackoff);
    const auto half = static_cast<std::uint64_t>(longest.count()) / 2;
    const milliseconds jitter(static_cast<std::int64_t>(m_random.below(half + 1)));
    co_await pauseFor(longest / 2 + jitter);
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
    const auto ahead = m_theoreticalArrival - clock.steadyNow();
    const auto allowedAhead = WriteBurst * writeInterval(options.writesPerSecond);
    return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(ahead - allowedAhead));
}

void ClaimContext::countWrite()
{
    ++counters.transactions;
    if (options.writesPerSecond > 0)
        m_theoreticalArrival = std::max(m_theoreticalArrival, clock.steadyNow())
            + writeInterval(options.writesPerSecond);
}

void ClaimContext::refundWrite()
{
    if (options.writesPerSecond > 0)
        m_theoreticalArrival -= writeInterval(options.writesPerSecond);
}

wire::Task<Result<platform::TransactionOutcome>>
ClaimContext::transact(platform::Transaction transaction)
{
    countWrite();
    counters.rowWrites += transaction.writes.size();
    auto outcome = co_await table.transact(std::move(transaction));
    // Attempts that did not reach the table in a long outage must not count against the share after
    // it: with a share of one write a second, a minute of attempts would delay claims for minutes.
    if (!outcome && outcome.error().kind == ErrorKind::Unavailable)
        refundWrite();
    co_return outcome;
}

wire::Task<Result<std::vector<platform::Row>>>
ClaimContext::read(std::vector<platform::RowKey> keys)
{
    ++counters.reads;
    co_return co_await table.read(std::move(keys));
}

} // namespace snipestall::peer
