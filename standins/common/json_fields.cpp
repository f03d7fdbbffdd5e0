#include "common/json_fields.hpp"

#include <boost/json/parse.hpp>

#include <stdexcept>

namespace snipestall::standins {

namespace json = boost::json;

namespace {

[[noreturn]] void throwInvalidField(std::string_view name, std::string_view allowed)
{
    throw std::invalid_argument("'" + std::string(name) + "' must be " + std::string(allowed));
}

} // namespace

json::object parseObject(std::string_view body)
{
    boost::system::error_code ec;
    json::value value = json::parse(json::string_view(body.data(), body.size()), ec);
    if (ec || !value.is_object())
        throw std::invalid_argument("the body must be a JSON object");
    return std::move(value.as_object());
}

std::string textField(const json::object &object, std::string_view name,
                      std::string_view defaultValue)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr)
        return std::string(defaultValue);
    if (!value->is_string())
        throwInvalidField(name, "a string");
    return std::string(value->as_string());
}

std::int64_t integerField(const json::object &object, std::string_view name,
                          std::int64_t defaultValue)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr)
        return defaultValue;
    boost::system::error_code ec;
    const auto number = value->to_number<std::int64_t>(ec);
    if (ec)
        throwInvalidField(name, "a whole number");
    return number;
}

double realField(const json::object &object, std::string_view name, double defaultValue)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr)
        return defaultValue;
    boost::system::error_code ec;
    const auto number = value->to_number<double>(ec);
    if (ec)
        throwInvalidField(name, "a number");
    return number;
}

bool flagField(const json::object &object, std::string_view name, bool defaultValue)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr)
        return defaultValue;
    if (!value->is_bool())
        throwInvalidField(name, "true or false");
    return value->as_bool();
}

std::chrono::milliseconds millisecondsField(const json::object &object, std::string_view name,
                                            std::chrono::milliseconds defaultValue)
{
    return std::chrono::milliseconds(integerField(object, name, defaultValue.count()));
}

json::array arrayField(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr)
        return {};
    if (!value->is_array())
        throwInvalidField(name, "an array");
    return value->as_array();
}

} // namespace snipestall::standins
