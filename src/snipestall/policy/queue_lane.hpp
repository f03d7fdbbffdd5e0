#pragma once

#include <cstddef>

namespace snipestall::policy {

/// Work of one kind queues in a lane of its own, so that its wait depends on such work alone.
enum class Lane : std::size_t {
    /// Short urgent work.
    Urgent,
    Normal,
    Patient,
};

constexpr std::size_t LaneCount = 3;

/// Lanes besides the urgent one that may have a slot now.
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
