#pragma once

#include "snipestall/wire/task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace snipestall::platform {

/// The result of a task that a test has started; empty until the task ends.
template<typename T>
using TaskResult = std::shared_ptr<std::optional<T>>;

template<typename T>
wire::Task<void> storeResult(wire::Task<T> task, TaskResult<T> slot)
{
    slot->emplace(co_await std::move(task));
}

/// Starts a task. The returned object holds the result once the event loop has run the task to its
/// end.
template<typename T>
TaskResult<T> startTask(boost::asio::io_context &io, wire::Task<T> task)
{
    auto slot = std::make_shared<std::optional<T>>();
    boost::asio::co_spawn(io, storeResult(std::move(task), slot), boost::asio::detached);
    return slot;
}

/// Runs the event loop until it has no work left.
inline void runUntilIdle(boost::asio::io_context &io)
{
    io.restart();
    io.run();
}

/// Runs the event loop until `done()` returns true or it has no work left.
template<typename Done>
void runUntil(boost::asio::io_context &io, Done done)
{
    io.restart();
    while (!done() && io.run_one() > 0) { }
}

/// Runs the event loop until it has no work left, and returns the task's result.
template<typename T>
T runTask(boost::asio::io_context &io, wire::Task<T> task)
{
    const auto slot = startTask(io, std::move(task));
    runUntilIdle(io);
    return std::move(slot->value());
}

} // namespace snipestall::platform
