#pragma once

#include "harness/scenario/process_scenario.hpp"

#include "policy/scenario/yaml_fields.hpp"

#include <vector>

namespace snipestall::harness {

using policy::harness::Faults;

/// Reads `at` and `when` of a step.
std::vector<StepCondition> readConditions(policy::harness::YamlFields &step, Faults &faults);

} // namespace snipestall::harness
