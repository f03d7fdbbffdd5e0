#pragma once

#include "snipestall/settings/setting_info.hpp"
#include "snipestall/settings/value.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::settings {

/// Converts a text, or the items of a list, to a value. Empty if the schema doesn't allow it.
std::optional<Value> readScalar(const SettingInfo &setting, std::string_view text);
std::optional<Value> readList(const SettingInfo &setting, std::vector<std::string> texts);
/// The default of a setting; empty if it has none. A list defaults to the empty list.
std::optional<Value> defaultOf(const SettingInfo &setting);

[[nodiscard]] inline bool isList(const SettingInfo &setting)
{
    return setting.type == ValueType::Names || setting.type == ValueType::KeyHashes;
}

/// Whether a text is a valid name: at most 64 lower-case letters, digits, '-', '_' and '.', the
/// first of them a letter or a digit.
bool isName(std::string_view text);

} // namespace snipestall::settings
