#pragma once

#include "snipestall/settings/setting_info.hpp"
#include "snipestall/settings/value.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::settings {

/// The value that a text stands for; nothing if the schema doesn't allow it.
std::optional<Value> readScalar(const SettingInfo &setting, std::string_view text);
std::optional<Value> readList(const SettingInfo &setting, std::vector<std::string> texts);
/// The value that holds where no level says anything; nothing if the setting has none.
std::optional<Value> defaultOf(const SettingInfo &setting);

[[nodiscard]] inline bool isList(const SettingInfo &setting)
{
    return setting.type == ValueType::Names || setting.type == ValueType::KeyHashes;
}

/// Lower-case letters, digits, '-', '_' and '.', first a letter or digit, at most 64.
bool isName(std::string_view text);

} // namespace snipestall::settings
