#pragma once

#include "policy/scenario/scenario.hpp"
#include "policy/scenario/yaml_fields.hpp"

#include <string>
#include <vector>

namespace snipestall::policy::harness {

/// Reads the expectations that a scenario has of its ledger.
std::vector<Expectation> readExpectations(const YAML::Node &node, const std::string &path,
                                          Faults &faults);

} // namespace snipestall::policy::harness
