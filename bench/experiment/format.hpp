#pragma once

#include "snipestall/policy/time.hpp"

#include <string>

namespace snipestall::policy::experiment {

/// 0.987 -> "98.7%"
std::string percent(double part);
/// 12345 -> "12.3k"
std::string thousands(double count);
std::string decimal(double value);
std::string milliseconds(Duration duration);

} // namespace snipestall::policy::experiment
