#include "snipestall/gateway/attempt_watch.hpp"

#include "snipestall/serving/stall_rule.hpp"

#include <vector>

namespace snipestall::gateway {

void AttemptWatch::check(SteadyTime now)
{
    std::vector<WatchedAttempt *> stalled;
    for (WatchedAttempt &entry : entries()) {
        const serving::WaitingAttempt attempt { entry.sentAt, entry.server->lastByteAt,
                                                entry.predicted };
        if (!serving::isStalled(attempt, now))
            continue;
        entry.server->health.stalled(now);
        stalled.push_back(&entry);
    }
    // All silent servers are known now, so that none replaces another.
    for (WatchedAttempt *entry : stalled) {
        if (entry->nextDecision && now < *entry->nextDecision)
            continue;
        entry->nextDecision = serving::nextStallDecision(entry->sentAt, now);
        // An attempt that is ended here removes its entry in a later turn of the loop.
        entry->handleStall(now);
    }
}

} // namespace snipestall::gateway
