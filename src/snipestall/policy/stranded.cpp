#include "snipestall/policy/stranded.hpp"

#include "snipestall/policy/lifecycle.hpp"
#include "snipestall/policy/state.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::policy {

std::vector<RequestHandle> waitingRequests(const State &state, const Pool &pool)
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

// Guards against this failure: the last engine of an owner dies. Requests that peers had forwarded
// to it, and requests that it held back as suspects of the death, waited for an engine there until
// their deadline, although engines were up elsewhere. Streams stopped and failed as expired a
// minute later.
void releaseStranded(State &state, Pool &pool)
{
    for (const RequestHandle handle : waitingRequests(state, pool)) {
        Request &request = *state.findRequest(handle);
        if (request.forwarded) {
            refuse(state, request, RefusalReason::NoCapacity, StrandedRetryAfter);
            continue;
        }
        if (request.phase != Phase::Suspect)
            continue;
        leavePhase(state, request);
        enqueue(state, request);
    }
}

bool startElsewhere(State &state, Request &request)
{
    if (hasServer(*request.pool))
        request.pool->lostLastServer = false;
    const bool stranded = request.pool->lostLastServer || request.crashes > 0;
    if (hasServer(*request.pool) || !stranded)
        return false;
    enqueue(state, request);
    if (request.forwarded)
        refuse(state, request, RefusalReason::NoCapacity, StrandedRetryAfter);
    return true;
}

} // namespace snipestall::policy
