#include "json_parts.hpp"

#include <stdexcept>

namespace snipestall::admin {
namespace {

const boost::json::value &requiredMember(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    if (!value)
        throw std::invalid_argument("\"" + std::string(name) + "\" is missing");
    return *value;
}

std::invalid_argument wrongType(std::string_view name, std::string_view type)
{
    return std::invalid_argument("\"" + std::string(name) + "\" must be " + std::string(type));
}

} // namespace

std::string textAt(const boost::json::object &object, std::string_view name)
{
    const boost::json::string *text = requiredMember(object, name).if_string();
    if (!text)
        throw wrongType(name, "a string");
    return { text->data(), text->size() };
}

std::uint64_t numberAt(const boost::json::object &object, std::string_view name)
{
    boost::json::error_code error;
    const auto number = requiredMember(object, name).to_number<std::uint64_t>(error);
    if (error)
        throw wrongType(name, "a whole number of at least 0");
    return number;
}

bool flagAt(const boost::json::object &object, std::string_view name)
{
    const bool *flag = requiredMember(object, name).if_bool();
    if (!flag)
        throw wrongType(name, "true or false");
    return *flag;
}

std::chrono::milliseconds millisecondsAt(const boost::json::object &object, std::string_view name)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(numberAt(object, name)));
}

std::optional<std::string> optionalTextAt(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    if (!value || value->is_null())
        return std::nullopt;
    return textAt(object, name);
}

boost::json::value textOrNull(const std::optional<std::string> &text)
{
    return text ? boost::json::value(*text) : boost::json::value(nullptr);
}

} // namespace snipestall::admin
