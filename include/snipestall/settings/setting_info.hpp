#pragma once

#include "snipestall/settings/place.hpp"

#include <string>
#include <string_view>

namespace snipestall::settings {

enum class ValueType {
    Flag,
    Count,
    Number,
    /// Number and unit: ms, s, min or h.
    Duration,
    /// One of `choices`.
    Choice,
    /// List of names.
    Names,
    /// List of SHA-256 hashes of keys.
    KeyHashes,
};

/// One row of the schema.
struct SettingInfo
{
    /// Path under its section; empty where the section's name itself carries the value.
    std::string_view key;
    ValueType type = ValueType::Number;
    std::string_view unit;
    /// Least and greatest value; durations in milliseconds.
    double least = 0;
    double most = 0;
    /// Canonical text of the value that holds where no level says anything; empty if none.
    std::string_view byDefault;
    PlaceSet places = 0;
    std::string_view meaning;
    /// Separated by '|'.
    std::string_view choices = {};
    /// False where 0 is allowed but stands for a range that excludes it, as in "> 0".
    bool leastIncluded = true;
};

/// What may be written, in words, such as "a duration from 1ms to 1h, such as 1200ms".
std::string allowedText(const SettingInfo &setting);

} // namespace snipestall::settings
