#pragma once

#include "snipestall/wire/task.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace snipestall::wire {

/// Condition variable for coroutines on the thread of the I/O loop. wait() may return without a
/// notification, and a notification before the wait is lost, so callers must check their condition
/// in a loop around wait().
///
///     while (queue.empty())
///         co_await signal.wait();
class Signal
{
public:
    explicit Signal(const boost::asio::any_io_executor &executor);

    /// Suspends the coroutine until the next notifyAll().
    Task<void> wait();
    /// Wakes all coroutines that wait now.
    void notifyAll();

private:
    boost::asio::steady_timer m_timer;
};

/// Suspends the coroutine for a time.
Task<void> sleepFor(std::chrono::steady_clock::duration duration);

} // namespace snipestall::wire
