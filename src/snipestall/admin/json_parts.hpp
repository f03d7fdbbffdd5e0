#pragma once

#include "snipestall/base/result.hpp"

#include <boost/json.hpp>

#include <chrono>
#include <exception>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::admin {

/// Each function returns the member `name` of a JSON object. It throws if the member is missing or
/// has another type; decode() turns the exception into an error. Numbers are whole and not
/// negative.
std::string textAt(const boost::json::object &object, std::string_view name);
std::uint64_t numberAt(const boost::json::object &object, std::string_view name);
bool flagAt(const boost::json::object &object, std::string_view name);
std::chrono::milliseconds millisecondsAt(const boost::json::object &object, std::string_view name);
/// Returns nothing if the member is missing or null.
std::optional<std::string> optionalTextAt(const boost::json::object &object, std::string_view name);
/// Returns the text as a JSON string, or null if there is none.
boost::json::value textOrNull(const std::optional<std::string> &text);

/// Returns a JSON array of `items`, each converted by `write`.
template<typename T>
boost::json::array arrayOf(const std::vector<T> &items, boost::json::object (*write)(const T &))
{
    boost::json::array array;
    for (const T &item : items)
        array.push_back(write(item));
    return array;
}

/// Returns the items of the array `name`, each converted by `read`; a missing array counts as
/// empty.
template<typename T>
std::vector<T> listAt(const boost::json::object &object, std::string_view name,
                      T (*read)(const boost::json::object &))
{
    std::vector<T> items;
    const boost::json::value *array = object.if_contains(name);
    if (!array)
        return items;
    for (const boost::json::value &item : array->as_array())
        items.push_back(read(item.as_object()));
    return items;
}

/// Parses a body and converts it by `read`; an exception becomes InvalidArgument.
template<typename T>
Result<T> decode(std::string_view body, T (*read)(const boost::json::object &))
{
    try {
        return read(boost::json::parse(body).as_object());
    } catch (const std::exception &exception) {
        return fail(
            ErrorKind::InvalidArgument,
            std::string("the body does not match its description in docs/snipestallctl.md: ")
                + exception.what());
    }
}

} // namespace snipestall::admin
