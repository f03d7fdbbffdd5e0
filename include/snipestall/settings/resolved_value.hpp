#pragma once

#include "snipestall/settings/value.hpp"

#include <string>

namespace snipestall::settings {

/// A value in force and the section that it comes from.
struct ResolvedValue
{
    /// Path of the value, such as "latency/first_token".
    std::string key;
    Value value;
    /// Path of the section that sets the value, such as "customers/kiyi", or "default".
    std::string from;
};

} // namespace snipestall::settings
