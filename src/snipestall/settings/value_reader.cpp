#include "value_reader.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace snipestall::settings {
namespace {

constexpr std::size_t HashDigits = 64;
constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MaxModelNameLength = 128;
constexpr std::string_view LowerHex = "0123456789abcdef";
constexpr std::string_view NameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789-_.";
constexpr std::string_view ModelCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/@";

struct DurationUnit
{
    std::string_view suffix;
    double milliseconds;
};

constexpr std::array DurationUnits {
    DurationUnit { "ms", 1 },
    DurationUnit { "min", 60'000 },
    DurationUnit { "s", 1000 },
    DurationUnit { "h", 3'600'000 },
};

std::optional<double> readNumber(std::string_view text)
{
    double number = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc {} || rest != end || !std::isfinite(number))
        return std::nullopt;
    return number == 0 ? 0.0 : number;
}

bool inRange(const SettingInfo &setting, double number)
{
    if (number > setting.maximum)
        return false;
    return setting.minimumIncluded ? number >= setting.minimum : number > setting.minimum;
}

std::optional<Value> readFlag(const SettingInfo &, std::string_view text)
{
    if (text == "true")
        return Value(true);
    if (text == "false")
        return Value(false);
    return std::nullopt;
}

std::optional<Value> readCount(const SettingInfo &setting, std::string_view text)
{
    const auto number = readNumber(text);
    if (!number || *number != std::floor(*number) || !inRange(setting, *number))
        return std::nullopt;
    return Value(static_cast<std::uint32_t>(*number));
}

std::optional<Value> readReal(const SettingInfo &setting, std::string_view text)
{
    const auto number = readNumber(text);
    if (!number || !inRange(setting, *number))
        return std::nullopt;
    return Value(*number);
}

std::optional<Value> readDuration(const SettingInfo &setting, std::string_view text)
{
    for (const DurationUnit &unit : DurationUnits) {
        if (!text.ends_with(unit.suffix))
            continue;
        const auto number = readNumber(text.substr(0, text.size() - unit.suffix.size()));
        if (!number)
            return std::nullopt;
        const double milliseconds = *number * unit.milliseconds;
        if (!inRange(setting, milliseconds) || milliseconds != std::floor(milliseconds))
            return std::nullopt;
        return Value(std::chrono::milliseconds(static_cast<std::int64_t>(milliseconds)));
    }
    return std::nullopt;
}

std::optional<Value> readChoice(const SettingInfo &setting, std::string_view text)
{
    std::string_view rest = setting.choices;
    while (!rest.empty()) {
        const std::size_t bar = rest.find('|');
        if (rest.substr(0, bar) == text)
            return Value(std::string(text));
        rest = bar == std::string_view::npos ? std::string_view() : rest.substr(bar + 1);
    }
    return std::nullopt;
}

using ScalarReader = std::optional<Value> (*)(const SettingInfo &, std::string_view);

struct ReaderOfType
{
    ValueType type;
    ScalarReader read;
};

constexpr std::array ScalarReaders {
    ReaderOfType { ValueType::Flag, readFlag },
    ReaderOfType { ValueType::Count, readCount },
    ReaderOfType { ValueType::Number, readReal },
    ReaderOfType { ValueType::Duration, readDuration },
    ReaderOfType { ValueType::Choice, readChoice },
};

bool consistsOf(std::string_view text, std::string_view characters)
{
    return text.find_first_not_of(characters) == std::string_view::npos;
}

bool isHash(std::string_view text)
{
    return text.size() == HashDigits && consistsOf(text, LowerHex);
}

bool isModelName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxModelNameLength && consistsOf(text, ModelCharacters);
}

} // namespace

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameLength && consistsOf(text, NameCharacters)
        && text.front() != '-' && text.front() != '_' && text.front() != '.';
}

std::optional<Value> readScalar(const SettingInfo &setting, std::string_view text)
{
    for (const ReaderOfType &reader : ScalarReaders) {
        if (reader.type == setting.type)
            return reader.read(setting, text);
    }
    return std::nullopt;
}

std::optional<Value> readList(const SettingInfo &setting, std::vector<std::string> texts)
{
    const auto isItem = setting.type == ValueType::KeyHashes ? isHash : isModelName;
    if (static_cast<double>(texts.size()) > setting.maximum)
        return std::nullopt;
    if (!std::all_of(texts.begin(), texts.end(), isItem))
        return std::nullopt;
    std::sort(texts.begin(), texts.end());
    if (std::adjacent_find(texts.begin(), texts.end()) != texts.end())
        return std::nullopt;
    return Value(std::move(texts));
}

std::optional<Value> defaultOf(const SettingInfo &setting)
{
    if (isList(setting))
        return Value(std::vector<std::string> {});
    return setting.defaultText.empty() ? std::nullopt : readScalar(setting, setting.defaultText);
}

} // namespace snipestall::settings
