#pragma once

#include "policy/harness/cluster_options.hpp"

#include <string>
#include <vector>

namespace snipestall::policy::experiment {

/// A decision maker that the experiment compares with others.
struct Contestant
{
    std::string name;
    harness::ClusterOptions options;
};

/// Returns World, followed by the baselines.
std::vector<Contestant> contestants();

/// Returns World on the fixed fleet, and World that starts and releases instances itself.
std::vector<Contestant> capacityContestants();

} // namespace snipestall::policy::experiment
