#pragma once

#include "bench/experiment/results.hpp"

#include <string>
#include <vector>

namespace snipestall::policy::experiment {

/// One aim set for the policy, and what was measured.
struct Aim
{
    std::string deployment;
    std::string text;
    std::string found;
    bool isMet = false;
};

std::vector<Aim> checkAims(const Results &results);

} // namespace snipestall::policy::experiment
