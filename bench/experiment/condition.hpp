#pragma once

#include "policy/harness/ledger.hpp"
#include "policy/scenario/scenario.hpp"

#include <string>
#include <vector>

namespace snipestall::policy::experiment {

/// A load, with or without a fault, under which the contestants are compared.
struct Condition
{
    std::string name;
    std::string description;
    harness::Scenario scenario;
    /// The calls that arrive within this span are measured.
    harness::Span window;
};

/// Names of the conditions that checkAims() looks up.
extern const char *const FullLoad;
extern const char *const Overload;
extern const char *const ReclaimWave;

std::vector<Condition> conditions();

/// Half an hour with 30% load, 80% load and 30% load, ten minutes each.
Condition risingLoad();

/// Load at one level from the start. The calls are measured after a warm-up.
Condition steadyLoad(std::string name, double level);

} // namespace snipestall::policy::experiment
