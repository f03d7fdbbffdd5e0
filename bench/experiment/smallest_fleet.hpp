#pragma once

#include "bench/experiment/contestant.hpp"

#include "policy/harness/deployment.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace snipestall::policy::experiment {

/// The smallest fleet that keeps all classes in target when model servers are removed one by one.
struct SmallestFleet
{
    std::string deployment;
    std::string contestant;
    /// The number of model servers; 0 if even the whole fleet misses the target.
    std::uint32_t servers = 0;
    double costPerHour = 0;
};

SmallestFleet findSmallestFleet(const harness::Deployment &deployment, const Contestant &contestant,
                                std::span<const std::uint64_t> seeds);

} // namespace snipestall::policy::experiment
