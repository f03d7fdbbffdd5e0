#pragma once

#include "harness/scenario/process_scenario.hpp"

#include "policy/scenario/yaml_fields.hpp"

#include <functional>

namespace snipestall::harness {

using policy::harness::Faults;

/// Reads the action of a step, which has at most one; returns an empty function if it has none.
std::function<void(ScenarioContext &)> readAction(policy::harness::YamlFields &step,
                                                  Faults &faults);

} // namespace snipestall::harness
