#pragma once

#include "bench/experiment/results.hpp"

#include <string>

namespace snipestall::policy::experiment {

/// Returns an SVG bar chart of the share of urgent requests in target, by deployment and condition.
std::string plot(const Results &results);

} // namespace snipestall::policy::experiment
