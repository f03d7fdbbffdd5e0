#pragma once

#include "snipestall/wire/task.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace snipestall::wire {

/// Wakes the coroutines that wait on it, on the loop's own thread. Wakes may be spurious and one
/// that comes before the wait is lost: check the condition in a loop around wait().
///
///     while (queue.empty())
///         co_await signal.wait();
class Signal
{
public:
    explicit Signal(const boost::asio::any_io_executor &executor);

    Task<void> wait();
    void notifyAll();

private:
    boost::asio::steady_timer m_timer;
};

/// Pauses the coroutine.
Task<void> sleepFor(std::chrono::steady_clock::duration duration);

} // namespace snipestall::wire
