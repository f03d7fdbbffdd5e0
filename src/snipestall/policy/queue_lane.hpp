#pragma once

#include <cstddef>

namespace snipestall::policy {

/// Each kind of work queues in a lane of its own, so that its wait depends only on work of that
/// kind.
enum class Lane : std::size_t {
    /// Short urgent work.
    Urgent,
    Normal,
    Patient,
};

constexpr std::size_t LaneCount = 3;

/// Which lanes besides the urgent one may be given a slot now.
struct OpenLanes
{
    bool normal = true;
    bool patient = true;
};

constexpr std::size_t indexOf(Lane lane)
{
    return static_cast<std::size_t>(lane);
}

} // namespace snipestall::policy
