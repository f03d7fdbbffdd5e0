#pragma once

#include "harness/scenario/process_scenario.hpp"

#include "policy/scenario/yaml_fields.hpp"

#include <functional>

namespace snipestall::harness {

using policy::harness::Faults;

/// Reads the one action of a step; an empty function if it has none.
std::function<void(Stage &)> readAct(policy::harness::YamlFields &step, Faults &faults);

} // namespace snipestall::harness
