#pragma once

#include "policy/harness/ledger.hpp"
#include "policy/scenario/scenario.hpp"

#include <string>
#include <vector>

namespace snipestall::policy::experiment {

/// One load and fault under which the contestants are compared.
struct Condition
{
    std::string name;
    std::string meaning;
    harness::Scenario scenario;
    /// Calls that arrived in it are measured.
    harness::Span window;
};

extern const char *const FullLoad;
extern const char *const Overload;
extern const char *const Wave;

std::vector<Condition> conditions();

/// Half an hour: 30% load, 80% for ten minutes, and 30% again.
Condition risingLoad();

/// Load at one level from the start; measured after a warm-up.
Condition steady(std::string name, double level);

} // namespace snipestall::policy::experiment
