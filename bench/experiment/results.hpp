#pragma once

#include "bench/experiment/measurement.hpp"
#include "bench/experiment/smallest_fleet.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::policy::experiment {

/// The measurements of one run of the experiment.
struct Results
{
    std::vector<std::uint64_t> seeds;
    std::vector<Condition> conditions;
    std::vector<Measurement> measurements;
    std::vector<SmallestFleet> smallestFleets;
    std::vector<Measurement> capacityMeasurements;

    [[nodiscard]] const Measurement &measurementOf(const std::string &deployment,
                                                   const std::string &condition,
                                                   const std::string &contestant) const;
    [[nodiscard]] std::vector<std::string> deployments() const;
    [[nodiscard]] std::vector<std::string> contestants() const;
};

} // namespace snipestall::policy::experiment
