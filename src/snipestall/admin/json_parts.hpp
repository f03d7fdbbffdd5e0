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

/// Texts and numbers of a JSON object; the `at` of a missing or wrongly typed one throws, which
/// `decode` turns into an error.
std::string textAt(const boost::json::object &object, std::string_view name);
std::uint64_t numberAt(const boost::json::object &object, std::string_view name);
bool flagAt(const boost::json::object &object, std::string_view name);
std::chrono::milliseconds millisecondsAt(const boost::json::object &object, std::string_view name);
std::optional<std::string> optionalTextAt(const boost::json::object &object, std::string_view name);
boost::json::value orNull(const std::optional<std::string> &text);

template<typename T>
boost::json::array arrayOf(const std::vector<T> &items, boost::json::object (*write)(const T &))
{
    boost::json::array array;
    for (const T &item : items)
        array.push_back(write(item));
    return array;
}

/// The items of an array; an absent one is empty.
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

template<typename T>
Result<T> decode(std::string_view body, T (*read)(const boost::json::object &))
{
    try {
        return read(boost::json::parse(body).as_object());
    } catch (const std::exception &wrong) {
        return fail(ErrorKind::InvalidArgument,
                    std::string("the body is not as docs/snipestallctl.md describes it: ")
                        + wrong.what());
    }
}

} // namespace snipestall::admin
