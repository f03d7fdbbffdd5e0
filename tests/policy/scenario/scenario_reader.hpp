#pragma once

#include "policy/scenario/scenario.hpp"
#include "policy/scenario/yaml_fields.hpp"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace snipestall::policy::harness {

/// Reads a scenario; reports all faults together, each with its path.
tl::expected<Scenario, Faults> readScenario(std::string name, std::string_view yaml);

} // namespace snipestall::policy::harness
