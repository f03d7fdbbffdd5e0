#include "snipestall/admin/time_text.hpp"

#include <array>
#include <charconv>
#include <ctime>
#include <iomanip>
#include <optional>
#include <sstream>

namespace snipestall::admin {
namespace {

constexpr const char *TimestampFormat = "%Y-%m-%dT%H:%M:%SZ";

struct Unit
{
    std::string_view suffix;
    std::chrono::seconds length;
};

constexpr std::array Units {
    Unit { "min", std::chrono::minutes(1) },
    Unit { "s", std::chrono::seconds(1) },
    Unit { "h", std::chrono::hours(1) },
    Unit { "d", std::chrono::hours(24) },
};

std::optional<std::chrono::seconds> parseAge(std::string_view text)
{
    constexpr long MaxCount = 1'000'000;
    for (const Unit &unit : Units) {
        if (!text.ends_with(unit.suffix))
            continue;
        const char *end = text.data() + text.size() - unit.suffix.size();
        long count = 0;
        const auto [rest, error] = std::from_chars(text.data(), end, count);
        if (error != std::errc {} || rest != end || count < 0 || count > MaxCount)
            return std::nullopt;
        return unit.length * count;
    }
    return std::nullopt;
}

std::optional<WallTime> parseTimestamp(std::string_view text)
{
    std::tm parts {};
    std::istringstream in { std::string(text) };
    in >> std::get_time(&parts, TimestampFormat);
    if (in.fail() || in.peek() != std::istringstream::traits_type::eof())
        return std::nullopt;
    return std::chrono::system_clock::from_time_t(timegm(&parts));
}

} // namespace

std::string formatTime(WallTime time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::ostringstream out;
    out << std::put_time(&parts, TimestampFormat);
    return out.str();
}

Result<WallTime> parseTime(std::string_view text, WallTime now)
{
    if (const auto age = parseAge(text))
        return now - *age;
    if (const auto date = parseTimestamp(text))
        return *date;
    return fail(
        ErrorKind::InvalidArgument,
        "'" + std::string(text)
            + "' is not a time; write 2026-12-02T20:37:00Z or an age such as 15min, 2h, 7d");
}

} // namespace snipestall::admin
