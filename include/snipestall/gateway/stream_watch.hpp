#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/gateway/watch_list.hpp"
#include "snipestall/serving/server_table.hpp"

#include <functional>

namespace snipestall::gateway {

/// A running stream and the function that starts its move.
struct WatchedStream
{
    serving::ServerStatePtr server;
    /// Starts the move. It is called once.
    std::function<void()> moveAway;
    /// Whether `moveAway` has been called.
    bool moveStarted = false;
};

/// Running streams that may not be run again. Starts the move of those whose server is about to be
/// reclaimed.
class StreamWatch : public WatchList<WatchedStream>
{
public:
    /// Starts the moves that are due at `now`. The caller calls it several times a second.
    void check(SteadyTime now);
};

} // namespace snipestall::gateway
