#pragma once

#include "harness/scenario/process_scenario.hpp"

#include "policy/scenario/yaml_fields.hpp"

#include <vector>

namespace snipestall::harness {

using policy::harness::Faults;

/// Reads the conditions of a step from its `at` and `when`.
std::vector<StepCondition> readConditions(policy::harness::YamlFields &step, Faults &faults);

} // namespace snipestall::harness
