#pragma once

#include "snipestall/policy/queue_lane.hpp"
#include "snipestall/policy/time.hpp"

#include <optional>

namespace snipestall::policy {

struct Pool;
struct Request;

/// Expected wait for a slot of this pool if the request were queued now; nothing when the pool
/// has no usable server.
std::optional<Duration> expectedWait(const Pool &pool, const Request &request);

/// The same for an average request, as told to peers.
std::optional<Duration> expectedWait(const Pool &pool, Lane lane);

} // namespace snipestall::policy
