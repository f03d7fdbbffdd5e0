#pragma once

#include "harness/scenario/process_scenario.hpp"

#include "policy/scenario/yaml_fields.hpp"

#include <string>
#include <vector>

namespace snipestall::harness {

using policy::harness::Faults;

/// Reads what a scenario expects at its end. That no load found a promise broken is always
/// expected.
std::vector<ProcessExpectation> readChecks(const YAML::Node &node, const std::string &path,
                                           Faults &faults);

} // namespace snipestall::harness
