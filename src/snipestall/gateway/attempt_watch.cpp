#include "snipestall/gateway/attempt_watch.hpp"

#include "snipestall/gateway/backend_call.hpp"
#include "snipestall/serving/stall_rule.hpp"

namespace snipestall::gateway {

void AttemptWatch::check(SteadyTime now)
{
    for (const WatchedAttempt &entry : entries()) {
        const serving::WaitingAttempt attempt { entry.sentAt, entry.server->lastByteAt,
                                                entry.predicted };
        // The aborted attempt ends as lost and then removes its own entry.
        if (serving::isStalled(attempt, now))
            entry.call->abort();
    }
}

} // namespace snipestall::gateway
