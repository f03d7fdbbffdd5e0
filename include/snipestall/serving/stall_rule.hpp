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

/// Whether an attempt that may be repeated elsewhere has waited for too long.
///
/// Load: a server loses its power, or the path to it is cut, while requests are in flight. Harm:
/// they wait for the timeout of the connection, which is longer than their target latency. An
/// attempt is stalled when it has waited far longer than predicted and this instance has not
/// received anything from the server during that time. A server that streams to other requests is
/// busy, not gone, and its requests are not stalled: repeating them elsewhere would only add to
/// the load that makes it slow.
bool isStalled(const WaitingAttempt &attempt, SteadyTime now);

/// What is left to a request whose attempt is stalled, for another attempt.
struct ReplacementMeans
{
    /// Runs that the request may still use, without the stalled one.
    int runsLeft = 0;
    /// Whether the request, or a part of its prompt, crashes servers.
    bool blocked = false;
    /// Time left until the request must be answered.
    std::chrono::duration<double> timeLeft { 0 };
    /// Whether the limit on repeats admits one.
    bool repeatLeft = false;
    /// Whether there is a server that the request was not sent to and that is not silent itself.
    bool serverFound = false;
    /// Predicted time until the first byte from that server; 0 if there is no prediction.
    std::chrono::duration<double> predicted { 0 };
};

/// What is done with a stalled attempt; all but `Replace` say why it goes on waiting.
enum class StallDecision {
    Replace,
    NoRunLeft,
    Blocked,
    NoTimeLeft,
    NoRepeatLeft,
    NoServer,
};

/// Decides whether a stalled attempt is ended and replaced by another one.
///
/// Failure: servers pause for a second and then go on. Attempts there are ended, many at once, so
/// that the limit on repeats is used up, and the requests fail although their servers would have
/// answered them. An attempt is therefore ended only if its replacement can be sent. Silence alone
/// never ends a request: a server that has failed is found out by its connection.
StallDecision decideStall(const ReplacementMeans &means);

/// How often a stalled attempt is decided on: after it has waited this much longer each time.
SteadyTime nextStallDecision(SteadyTime sentAt, SteadyTime now);

const char *toString(StallDecision decision);

} // namespace snipestall::serving
