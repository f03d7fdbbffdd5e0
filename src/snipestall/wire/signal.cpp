#include "snipestall/wire/signal.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace snipestall::wire {

namespace asio = boost::asio;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

Signal::Signal(const asio::any_io_executor &executor)
    : m_timer(executor, std::chrono::steady_clock::time_point::max())
{ }

Task<void> Signal::wait()
{
    co_await m_timer.async_wait(UseTuple);
}

void Signal::notifyAll()
{
    m_timer.cancel();
}

Task<void> sleepFor(std::chrono::steady_clock::duration duration)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, duration);
    co_await timer.async_wait(UseTuple);
}

} // namespace snipestall::wire
