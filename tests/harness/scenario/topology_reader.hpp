#pragma once

#include "harness/topology_spec.hpp"

#include "policy/scenario/yaml_fields.hpp"

#include <string>

namespace snipestall::harness {

using policy::harness::Faults;

/// Reads the topology of a scenario; returns TopologySpec::small() if the node is absent.
TopologySpec readTopology(const YAML::Node &node, const std::string &path, Faults &faults);

} // namespace snipestall::harness
