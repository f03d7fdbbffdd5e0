#include "snipestall/policy/stranded.hpp"

#include "snipestall/policy/lifecycle.hpp"
#include "snipestall/policy/state.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::policy {

std::vector<RequestHandle> waitingFor(const State &state, const Pool &pool)
{
    std::vector<std::pair<Time, RequestHandle>> waiting;
    for (const auto &[handle, request] : state.requests) {
        const bool waits = request.phase == Phase::Queued || request.phase == Phase::Suspect;
        if (waits && request.pool == &pool)
            waiting.emplace_back(request.startBy, handle);
    }
    std::ranges::sort(waiting);
    std::vector<RequestHandle> handles;
    handles.reserve(waiting.size());
    for (const auto &[startBy, handle] : waiting)
        handles.push_back(handle);
    return handles;
}

bool hasServer(const Pool &pool)
{
    return std::ranges::any_of(pool.servers, [](const auto &entry) { return !entry.second->gone; });
}

// Failure: an owner's last engine dies. What peers had forwarded to it, and what it held back as a
// suspect of the death, waited for an engine there until the deadline, beside engines that lived
// elsewhere; it showed as streams that stopped and failed as expired a minute later.
void releaseStranded(State &state, Pool &pool)
{
    for (const RequestHandle handle : waitingFor(state, pool)) {
        Request &request = *state.findRequest(handle);
        if (request.forwarded) {
            refuse(state, request, RefusalReason::NoCapacity, RetryElsewhere);
            continue;
        }
        if (request.phase != Phase::Suspect)
            continue;
        withdraw(state, request);
        enqueue(state, request);
    }
}

bool startElsewhere(State &state, Request &request)
{
    if (hasServer(*request.pool))
        request.pool->deserted = false;
    const bool stranded = request.pool->deserted || request.crashes > 0;
    if (hasServer(*request.pool) || !stranded)
        return false;
    enqueue(state, request);
    if (request.forwarded)
        refuse(state, request, RefusalReason::NoCapacity, RetryElsewhere);
    return true;
}

} // namespace snipestall::policy
