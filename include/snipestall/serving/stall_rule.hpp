#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>

namespace snipestall::serving {

/// What is known of an attempt that has no answer yet.
struct WaitingAttempt
{
    SteadyTime sentAt;
    /// When the server last gave this instance any byte, on any connection.
    SteadyTime serverHeardAt;
    /// How long the server needs to read what waits there and this request's prompt.
    std::chrono::duration<double> predicted { 0 };
};

/// Whether an attempt that may be repeated elsewhere should be given up where it is.
///
/// Load: a server goes dark, or the path to it is cut, with requests under way. Harm: they wait for
/// the connection's timeout, which is longer than their target latency. An attempt is given up when
/// it waits far beyond its predicted time and the server has said nothing to anyone here since.
/// A server that streams to others is busy, not gone, and is left alone: repeating its requests
/// elsewhere would only add to the load that makes it slow.
bool isStalled(const WaitingAttempt &attempt, SteadyTime now);

} // namespace snipestall::serving
