#pragma once

#include "snipestall/settings/setting_info.hpp"

#include <span>
#include <string>
#include <string_view>

namespace snipestall::settings {

/// Every setting. Checking, `snipestallctl explain` and docs/settings.md all come from this table.
std::span<const SettingInfo> schema();

/// The row of a key in a kind of section; null if there is none.
const SettingInfo *findSetting(Place place, std::string_view key);

/// Pattern of a setting's path, such as "customers/*/weight".
std::string patternOf(const SettingInfo &setting, Place place);

} // namespace snipestall::settings
