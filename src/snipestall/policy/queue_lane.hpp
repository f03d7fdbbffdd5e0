#pragma once

#include <cstddef>

namespace snipestall::policy {

/// Short urgent work has a lane of its own, so that its wait depends on such work alone.
enum class Lane : std::size_t {
    Urgent,
    Other,
};

constexpr std::size_t LaneCount = 2;

constexpr std::size_t indexOf(Lane lane)
{
    return static_cast<std::size_t>(lane);
}

} // namespace snipestall::policy
