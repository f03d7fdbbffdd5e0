#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/gateway/watch_list.hpp"
#include "snipestall/serving/server_table.hpp"

#include <chrono>
#include <functional>
#include <optional>

namespace snipestall::gateway {

/// An attempt that has not received the first byte of its answer.
struct WatchedAttempt
{
    serving::ServerStatePtr server;
    SteadyTime sentAt;
    /// Estimated time from the send to the first byte; 0 if there is no estimate.
    std::chrono::duration<double> predicted { 0 };
    /// The attempt is stalled: decides whether it is ended.
    std::function<void(SteadyTime)> handleStall;
    /// Time of the next decision on a stalled attempt.
    std::optional<SteadyTime> nextDecision;
};

/// Attempts that wait for the first byte of their answer and may be repeated. Finds those that are
/// stalled, and marks their servers as silent.
class AttemptWatch : public WatchList<WatchedAttempt>
{
public:
    /// Handles the attempts that are stalled at `now`. The caller calls it several times a second.
    void check(SteadyTime now);
};

} // namespace snipestall::gateway
