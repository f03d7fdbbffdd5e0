#pragma once

#include "harness/scenario/process_scenario.hpp"

#include "policy/scenario/yaml_fields.hpp"

#include <string>
#include <vector>

namespace snipestall::harness {

using policy::harness::Faults;

/// Reads the expectations that a scenario checks at its end. Every scenario also expects that no
/// load found a violated guarantee.
std::vector<ProcessExpectation> readChecks(const YAML::Node &node, const std::string &path,
                                           Faults &faults);

} // namespace snipestall::harness
