#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/gateway/watch_list.hpp"
#include "snipestall/serving/server_table.hpp"

#include <chrono>
#include <memory>

namespace snipestall::gateway {

class BackendCall;

/// An attempt that has not received the first byte of its answer.
struct WatchedAttempt
{
    std::shared_ptr<BackendCall> call;
    serving::ServerStatePtr server;
    SteadyTime sentAt;
    /// Estimated time from the send to the first byte; 0 if there is no estimate.
    std::chrono::duration<double> predicted { 0 };
};

/// Attempts that wait for the first byte of their answer. Aborts those whose server seems to have
/// failed.
class AttemptWatch : public WatchList<WatchedAttempt>
{
public:
    /// Aborts the attempts that are stalled at `now`. The caller calls it several times a second.
    void check(SteadyTime now);
};

} // namespace snipestall::gateway
