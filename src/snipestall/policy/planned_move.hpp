#pragma once

#include <cstdint>
#include <tuple>

namespace snipestall::policy {

struct Request;

/// A stream that is to be moved off its backend server. The stream that costs most to recompute is
/// ordered first.
struct PlannedMove
{
    std::uint32_t cost = 0;
    std::uint64_t handle = 0;
    Request *request = nullptr;

    bool operator<(const PlannedMove &other) const
    {
        return std::tie(other.cost, handle) < std::tie(cost, other.handle);
    }
};

} // namespace snipestall::policy
