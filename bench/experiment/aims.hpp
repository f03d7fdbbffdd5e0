#pragma once

#include "bench/experiment/results.hpp"

#include <string>
#include <vector>

namespace snipestall::policy::experiment {

/// A goal of the policy and the measured result.
struct Aim
{
    std::string deployment;
    std::string text;
    std::string measured;
    bool isMet = false;
};

std::vector<Aim> checkAims(const Results &results);

} // namespace snipestall::policy::experiment
