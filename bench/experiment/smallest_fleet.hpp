#pragma once

#include "bench/experiment/contestant.hpp"

#include "policy/harness/deployment.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace snipestall::policy::experiment {

/// The cheapest fleet, taken down server by server, that still keeps all classes in target.
struct SmallestFleet
{
    std::string deployment;
    std::string contestant;
    /// Model servers; 0 when not even the whole fleet keeps the target.
    std::uint32_t servers = 0;
    double costPerHour = 0;
};

SmallestFleet findSmallestFleet(const harness::Deployment &deployment, const Contestant &contestant,
                                std::span<const std::uint64_t> seeds);

} // namespace snipestall::policy::experiment
