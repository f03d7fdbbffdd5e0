#pragma once

#include "snipestall/serving/first_event_estimate.hpp"

#include <chrono>
#include <cstddef>
#include <optional>

namespace snipestall::serving {

/// A request that is about to be sent, and what it would meet.
struct OverloadInput
{
    /// Prediction for the server where the request would begin first.
    std::optional<FirstEvent> earliest;
    /// Whether some server could begin with it at once.
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

/// Refuses a request that would be late wherever it went.
///
/// Load: more requests arrive than the servers can answer in time, for some seconds. Harm: all are
/// sent, wait at full servers, and all are late; what is admitted there last was sent first. A
/// request that can't be in time is refused at once, so that those after it can be. A customer over
/// its share is refused while the others still have room, so that its flood does not use it up. As
/// the prediction counts only what a server would admit before the request, patient requests are
/// refused long before urgent ones. They also leave places in the servers' queues, because a server
/// whose queue is full rejects urgent requests as well. With a free server nothing is refused,
/// however long the prompt.
///
/// Returns nothing if the request is to be sent. `random`, from 0 up to 1, spreads the callers that
/// are told to come back.
std::optional<OverloadRefusal> refusedByLoad(const OverloadInput &input, double random);

} // namespace snipestall::serving
