#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>

namespace snipestall::serving {

/// What is known of an attempt without an answer.
struct WaitingAttempt
{
    SteadyTime sentAt;
    /// When this instance last received any byte from the server, on any connection.
    SteadyTime serverLastByteAt;
    /// Predicted time in which the server reads the prompts queued there and the prompt of this
    /// request.
    std::chrono::duration<double> predicted { 0 };
};

/// Whether an attempt that may be repeated elsewhere should be given up.
///
/// Load: a server loses its power, or the path to it is cut, while requests are in flight. Harm:
/// they wait for the timeout of the connection, which is longer than their target latency. An
/// attempt is given up when it has waited far longer than predicted and this instance has not
/// received anything from the server during that time. A server that streams to other requests is
/// busy, not gone, and its requests are not given up: repeating them elsewhere would only add to
/// the load that makes it slow.
bool isStalled(const WaitingAttempt &attempt, SteadyTime now);

} // namespace snipestall::serving
