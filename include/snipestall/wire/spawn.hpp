#pragma once

#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace snipestall::wire {

/// Runs a task on the loop. An exception that leaves it is logged with the task's name and ends
/// only this task; a task that is spawned bare would end without a trace.
void spawn(boost::asio::io_context &io, Task<void> task, std::string_view name);
/// The same for a task whose function object must exist as long as the task.
void spawn(boost::asio::io_context &io, std::function<Task<void>()> task, std::string_view name);

/// Runs a task that lasts as long as the process. If an exception leaves it, it is logged, and the
/// task begins again after a pause.
void spawnLoop(boost::asio::io_context &io, std::function<Task<void>()> loop,
               std::string_view name);

/// Runs the loop until it is stopped. An exception that leaves a handler, and belongs to no task,
/// is logged and ends only that handler.
void runLoop(boost::asio::io_context &io);

} // namespace snipestall::wire
