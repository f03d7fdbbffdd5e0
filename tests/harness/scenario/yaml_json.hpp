#pragma once

#include <yaml-cpp/yaml.h>

#include <string>

namespace snipestall::harness {

/// A YAML map as a JSON object: words that JSON knows as numbers or truth values become those.
std::string toJson(const YAML::Node &node);

} // namespace snipestall::harness
