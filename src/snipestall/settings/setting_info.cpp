#include "snipestall/settings/setting_info.hpp"

#include "snipestall/settings/value.hpp"

#include <chrono>
#include <cstdint>

namespace snipestall::settings {
namespace {

std::string durationText(double milliseconds)
{
    constexpr std::int64_t PerHour = 3'600'000;
    const auto whole = static_cast<std::int64_t>(milliseconds);
    if (whole % PerHour == 0)
        return std::to_string(whole / PerHour) + "h";
    return toText(std::chrono::milliseconds(whole));
}

std::string rangeText(const SettingInfo &setting)
{
    const std::string_view from = setting.minimumIncluded ? "from " : "above ";
    const std::string_view to = setting.minimumIncluded ? " to " : " up to ";
    std::string text(from);
    return text.append(toText(setting.minimum)).append(to).append(toText(setting.maximum));
}

std::string choicesText(std::string_view choices)
{
    std::string text(choices);
    for (std::size_t at = text.find('|'); at != std::string::npos; at = text.find('|'))
        text.replace(at, 1, " or ");
    return text;
}

} // namespace

std::string allowedText(const SettingInfo &setting)
{
    switch (setting.type) {
    case ValueType::Flag:
        return "true or false";
    case ValueType::Count:
        return "a whole number " + rangeText(setting);
    case ValueType::Number:
        return "a number " + rangeText(setting);
    case ValueType::Duration:
        return "a duration with its unit (ms, s, min, h) from " + durationText(setting.minimum)
            + " to " + durationText(setting.maximum);
    case ValueType::Choice:
        return choicesText(setting.choices);
    case ValueType::Names:
        return "a list of at most " + toText(setting.maximum) + " different names";
    case ValueType::KeyHashes:
        return "a list of at most " + toText(setting.maximum)
            + " different SHA-256 hashes, each 64 lower-case hex digits, never the key itself";
    }
    return {};
}

} // namespace snipestall::settings
