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

} // namespace snipestall::policy::experiment
