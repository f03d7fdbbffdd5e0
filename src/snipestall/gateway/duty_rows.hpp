#pragma once

#include "platform/store_row.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace snipestall::gateway {

/// Several times the usual response time of the store. Callers of the store try again soon after.
inline constexpr std::chrono::milliseconds StoreTimeout { 1200 };
/// Shorter than the part of its lease in which a holder no longer acts, so that a call that has
/// timed out has either arrived by the time the next holder begins, or never will.
inline constexpr std::chrono::milliseconds DutyTimeout { 900 };

inline std::optional<boost::json::object> parseObject(const std::string &text)
{
    boost::system::error_code error;
    boost::json::value value = boost::json::parse(text, error);
    if (error || !value.is_object())
        return std::nullopt;
    return std::move(value.get_object());
}

template<typename Number>
std::map<std::string, Number> decodeNumbers(const std::string &text)
{
    std::map<std::string, Number> numbers;
    const auto object = parseObject(text);
    if (!object)
        return numbers;
    for (const auto &[name, value] : *object) {
        if (value.is_number())
            numbers[std::string(name)] = value.template to_number<Number>();
    }
    return numbers;
}

inline const platform::StoredRow *findRow(const platform::StoredRows &rows, const std::string &key)
{
    const auto found =
        std::find_if(rows.rows.begin(), rows.rows.end(), [&key](const platform::StoredRow &row) {
            return row.name.key == key && !row.removed;
        });
    return found == rows.rows.end() ? nullptr : &*found;
}

} // namespace snipestall::gateway
