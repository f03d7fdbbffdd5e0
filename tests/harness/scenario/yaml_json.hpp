#pragma once

#include <yaml-cpp/yaml.h>

#include <string>

namespace snipestall::harness {

/// Converts a YAML map to a JSON object. Scalars that are valid JSON, such as numbers and booleans,
/// keep their JSON type; all others become strings.
std::string toJson(const YAML::Node &node);

} // namespace snipestall::harness
