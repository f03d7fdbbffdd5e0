#pragma once

#include "snipestall/serving/first_event_estimate.hpp"

#include <chrono>
#include <cstddef>
#include <optional>

namespace snipestall::serving {

/// A request that is about to be sent, and what is predicted for it.
struct OverloadInput
{
    /// Prediction for the server where the request would begin first.
    std::optional<FirstEvent> earliest;
    /// Whether some server can begin the request at once, or this is not known.
    bool hasFreeSlot = false;
    std::chrono::milliseconds target { 0 };
    std::chrono::milliseconds timeout { 0 };
    /// Whether its customer asks for more than its share.
    bool overShare = false;
    /// Band of urgency; see EngineRanks.
    std::size_t band = 0;
    /// Requests in flight by slots, of the server where that is least.
    double leastUse = 0;
};

struct OverloadRefusal
{
    std::chrono::milliseconds predicted { 0 };
    std::chrono::milliseconds retryAfter { 0 };
};

/// Refuses a request that would be late at every server.
///
/// Load: more requests arrive than the servers can answer in time, for some seconds. Harm: all are
/// sent, wait at full servers, and are late. A request that cannot be in time is refused at once,
/// so that those after it can be. A customer over its share is refused while there is still
/// capacity for the others, so that its flood does not use that up. The prediction counts only the
/// requests that a server would admit before this one, so less urgent requests are refused long
/// before urgent ones. They also leave places in the servers' queues, because a server whose queue
/// is full rejects urgent requests as well. While a server has a free slot nothing is refused,
/// however long the prompt. Without a prediction, as in a process that has just started, only the
/// places that are taken count.
///
/// Returns nothing if the request is to be sent. `random`, from 0 up to 1, spreads the callers that
/// are told to come back.
std::optional<OverloadRefusal> refusedByLoad(const OverloadInput &input, double random);

} // namespace snipestall::serving
