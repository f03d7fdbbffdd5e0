#pragma once

#include "bench/experiment/results.hpp"

#include <string>

namespace snipestall::policy::experiment {

/// Bars of the share of urgent requests in target, by deployment and condition, as SVG.
std::string plot(const Results &results);

} // namespace snipestall::policy::experiment
