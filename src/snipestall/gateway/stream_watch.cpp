#include "snipestall/gateway/stream_watch.hpp"

#include "snipestall/serving/move_rule.hpp"

namespace snipestall::gateway {

void StreamWatch::check(SteadyTime now)
{
    for (WatchedStream &entry : entries()) {
        const auto &leavesAt = entry.server->leavesAt;
        if (entry.moveStarted || !leavesAt || !serving::shouldMove(*leavesAt, now))
            continue;
        entry.moveStarted = true;
        entry.moveAway();
    }
}

} // namespace snipestall::gateway
