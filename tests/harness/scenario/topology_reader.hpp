#pragma once

#include "harness/topology_spec.hpp"

#include "policy/scenario/yaml_fields.hpp"

#include <string>

namespace snipestall::harness {

using policy::harness::Faults;

/// Reads what runs in a scenario; TopologySpec::small() without it.
TopologySpec readTopology(const YAML::Node &node, const std::string &path, Faults &faults);

} // namespace snipestall::harness
