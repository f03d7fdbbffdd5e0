#pragma once

#include "snipestall/wire/task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace snipestall::platform {

/// A result that a task of a test fills in.
template<typename T>
using Slot = std::shared_ptr<std::optional<T>>;

template<typename T>
wire::Task<void> fillSlot(wire::Task<T> task, Slot<T> slot)
{
    slot->emplace(co_await std::move(task));
}

/// Starts a task; its result is there once the loop has run far enough.
template<typename T>
Slot<T> startTask(boost::asio::io_context &io, wire::Task<T> task)
{
    auto slot = std::make_shared<std::optional<T>>();
    boost::asio::co_spawn(io, fillSlot(std::move(task), slot), boost::asio::detached);
    return slot;
}

/// Runs the loop until nothing is left to do.
inline void drain(boost::asio::io_context &io)
{
    io.restart();
    io.run();
}

/// Runs the loop until `done()` holds or nothing is left to do.
template<typename Done>
void runUntil(boost::asio::io_context &io, Done done)
{
    io.restart();
    while (!done() && io.run_one() > 0) { }
}

/// Runs a task to its end, and whatever else the loop has to do.
template<typename T>
T runTask(boost::asio::io_context &io, wire::Task<T> task)
{
    const auto slot = startTask(io, std::move(task));
    drain(io);
    return std::move(slot->value());
}

} // namespace snipestall::platform
