#pragma once

#include "policy/harness/cluster_options.hpp"

#include <string>
#include <vector>

namespace snipestall::policy::experiment {

/// A decision maker that takes part in the comparison.
struct Contestant
{
    std::string name;
    harness::ClusterOptions options;
};

/// World first, then the baselines.
std::vector<Contestant> contestants();

/// World on the fixed fleet, and World that starts and releases instances itself.
std::vector<Contestant> capacityContestants();

} // namespace snipestall::policy::experiment
