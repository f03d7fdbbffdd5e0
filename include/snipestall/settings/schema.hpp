#pragma once

#include "snipestall/settings/setting_info.hpp"

#include <span>
#include <string>
#include <string_view>

namespace snipestall::settings {

/// Every setting. Validation, `snipestallctl explain` and docs/settings.md all use this table.
std::span<const SettingInfo> schema();

/// The setting with a key in a kind of section; null if there is none.
const SettingInfo *findSetting(Scope scope, std::string_view key);

/// Pattern of a setting's path in a kind of section, such as "customers/*/weight".
std::string patternOf(const SettingInfo &setting, Scope scope);

} // namespace snipestall::settings
