#pragma once

#include "snipestall/policy/time.hpp"

#include <string>

namespace snipestall::policy::experiment {

/// Formats 0.987 as "98.7%".
std::string percent(double fraction);
/// Formats 12345 as "12.3k".
std::string thousands(double count);
std::string decimal(double value);
std::string milliseconds(Duration duration);

} // namespace snipestall::policy::experiment
