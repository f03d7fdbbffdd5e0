#pragma once

#include "snipestall/settings/value.hpp"

#include <string>

namespace snipestall::settings {

/// A value in force and where it comes from.
struct ResolvedValue
{
    /// Path under the section, such as "latency/first_token".
    std::string key;
    Value value;
    /// The section that says it, such as "customers/kiyi", or "default".
    std::string from;
};

} // namespace snipestall::settings
