#pragma once

#include "bench/experiment/results.hpp"

#include <string>

namespace snipestall::policy::experiment {

/// Returns the whole report as Markdown.
std::string report(const Results &results);

} // namespace snipestall::policy::experiment
