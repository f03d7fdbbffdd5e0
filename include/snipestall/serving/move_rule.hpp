#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>

namespace snipestall::serving {

/// Whether a running stream has to be moved away from a server that is being reclaimed.
///
/// Load: all reclaimable servers of a data centre are reclaimed with a few seconds of notice, and
/// each runs several streams that must not be run again. Harm: the streams that do not end in time
/// break off in the middle. Most of them do end in time, and moving a stream costs the copying of
/// its KV cache, so each stream stays where it is until `MoveLeadTime` is left, and only the
/// remaining ones are moved.
bool shouldMove(SteadyTime leavesAt, SteadyTime now);

} // namespace snipestall::serving
