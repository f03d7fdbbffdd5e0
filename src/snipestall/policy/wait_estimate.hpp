#pragma once

#include "snipestall/policy/queue_lane.hpp"
#include "snipestall/policy/time.hpp"

#include <optional>

namespace snipestall::policy {

struct Pool;
struct Request;

/// Expected wait for a slot of this pool if the request were queued now; no value when the pool has
/// no usable server.
std::optional<Duration> expectedWait(const Pool &pool, const Request &request);

/// Expected wait of an average request of the lane, as reported to peers; no value when the pool
/// has no usable server.
std::optional<Duration> expectedWait(const Pool &pool, Lane lane);

} // namespace snipestall::policy
