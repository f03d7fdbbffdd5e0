#pragma once

#include "snipestall/settings/scope.hpp"

#include <string>
#include <string_view>

namespace snipestall::settings {

enum class ValueType {
    Flag,
    /// Whole number.
    Count,
    Number,
    /// Number and unit: ms, s, min or h.
    Duration,
    /// One of `choices`.
    Choice,
    /// List of model names.
    Names,
    /// List of SHA-256 hashes of bearer keys, in lower-case hex.
    KeyHashes,
};

/// One row of the schema.
struct SettingInfo
{
    /// Path relative to its section; empty if the value stands in place of the section itself.
    std::string_view key;
    ValueType type = ValueType::Number;
    std::string_view unit;
    /// Smallest and largest value, or for a list the largest number of items; durations in
    /// milliseconds.
    double minimum = 0;
    double maximum = 0;
    /// Canonical text of the value that is in force if no level sets one; empty if there is no
    /// default.
    std::string_view defaultText;
    /// Kinds of section that may hold the setting.
    ScopeSet scopes = 0;
    std::string_view description;
    /// Values of a Choice, separated by '|'.
    std::string_view choices = {};
    /// False if the minimum itself is not allowed, as in "> 0".
    bool minimumIncluded = true;
};

/// The allowed values in words, such as "a duration with its unit (ms, s, min, h) from 1ms to 1h".
std::string allowedText(const SettingInfo &setting);

} // namespace snipestall::settings
