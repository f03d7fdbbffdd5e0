#include "snipestall/settings/value.hpp"

#include <array>
#include <charconv>

namespace snipestall::settings {
namespace {

struct TextWriter
{
    std::string operator()(bool value) const { return value ? "true" : "false"; }
    std::string operator()(std::uint32_t value) const { return std::to_string(value); }
    std::string operator()(double value) const;
    std::string operator()(std::chrono::milliseconds value) const;
    std::string operator()(const std::string &value) const { return value; }
    std::string operator()(const std::vector<std::string> &value) const;
};

std::string TextWriter::operator()(double value) const
{
    // Numbers in this range are written without an exponent.
    constexpr double MinFixed = 1e-6;
    constexpr double MaxFixed = 1e15;
    const bool isFixed = value == 0 || (value >= MinFixed && value < MaxFixed);
    const auto format = isFixed ? std::chars_format::fixed : std::chars_format::scientific;
    std::array<char, 64> buffer {};
    char *const begin = buffer.data();
    const auto [end, error] = std::to_chars(begin, begin + buffer.size(), value, format);
    return { begin, end };
}

std::string TextWriter::operator()(std::chrono::milliseconds value) const
{
    constexpr int PerSecond = 1000;
    if (value.count() % PerSecond == 0)
        return std::to_string(value.count() / PerSecond) + "s";
    return std::to_string(value.count()) + "ms";
}

std::string TextWriter::operator()(const std::vector<std::string> &value) const
{
    std::string text = "[";
    for (const std::string &item : value)
        text.append(text.size() > 1 ? ", " : "").append(item);
    return text + "]";
}

} // namespace

std::string toText(const Value &value)
{
    return std::visit(TextWriter {}, value);
}

} // namespace snipestall::settings
