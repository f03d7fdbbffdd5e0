#include "snipestall/serving/move_rule.hpp"

namespace snipestall::serving {

namespace {

/// Copying the KV cache of one stream takes some milliseconds, but all streams of a server share
/// its network link, a move that a full server rejects has to be tried elsewhere, and the time left
/// is known here only as exactly as the lag of the server list allows.
constexpr std::chrono::milliseconds MoveLeadTime { 700 };

} // namespace

bool shouldMove(SteadyTime leavesAt, SteadyTime now)
{
    return leavesAt - now <= MoveLeadTime;
}

} // namespace snipestall::serving
