#pragma once

#include "snipestall/policy/event.hpp"
#include "snipestall/policy/handles.hpp"
#include "snipestall/policy/time.hpp"

#include <cstdint>
#include <vector>

namespace snipestall::policy {

struct Flow;
struct Pool;
struct Server;

enum class Phase {
    /// Not yet admitted.
    New,
    /// Suspected of crashing servers: waits for a server that is emptied for it.
    Suspect,
    /// In its pool's queue.
    Queued,
    /// Waits for the end of a backoff before it is queued again.
    Delayed,
    /// An attempt runs on an owned backend server.
    Running,
    /// An attempt runs at a peer.
    Forwarded,
};

/// Row of the request table: one request from its admission to its final outcome.
struct Request
{
    RequestHandle handle;
    Pool *pool = nullptr;
    Flow *flow = nullptr;
    Phase phase = Phase::New;

    Urgency urgency = Urgency::Normal;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    bool idempotent = true;
    bool forwarded = false;
    bool accepted = false;
    /// The request is urgent and short: it may use the reserved slots.
    bool shortUrgent = false;
    std::vector<std::uint64_t> prefix;
    /// Hash of the whole request; 0 when unknown.
    std::uint64_t fingerprint = 0;

    Time arrived;
    Time deadline;
    /// Latest start that still meets the request's target; orders the queue.
    Time startBy;
    /// Time from which no start can meet the deadline, even at the best speed.
    Time giveUpAt;

    /// Estimated work in output-token equivalents; the unit of fair shares.
    double cost = 0;
    /// Expected number of output tokens, a part of `maxTokens`, on which the cost estimate is
    /// based.
    double expectedOutput = 0;
    /// Estimated time in a slot.
    Duration slotTime {};
    /// Output tokens produced so far, which the caller has or will get.
    std::uint32_t produced = 0;

    AttemptHandle attempt;
    Server *server = nullptr;
    PeerHandle peer;
    Time dispatchedAt;
    Time lastTokenAt;
    bool firstTokenSeen = false;

    /// Whether the stream is to be moved off a server under notice, and the cost of recomputing it,
    /// in tokens.
    bool moving = false;
    std::uint32_t moveCost = 0;
    /// The stream was moved to its server and has not produced its first token there yet.
    bool importing = false;

    std::uint32_t retries = 0;
    /// The server on which the last attempt failed.
    ServerHandle failedOn;
    std::uint32_t forwards = 0;
    std::uint32_t crashes = 0;
    Time crashedAt;
    /// End of the backoff while Delayed.
    Time notBefore;
};

} // namespace snipestall::policy
