#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace snipestall::standins {

/// Parses a body as a JSON object. Throws std::invalid_argument if it is not one.
boost::json::object parseObject(std::string_view body);

// Each function reads one field. It returns the default if the field is absent and throws
// std::invalid_argument if the field has another type.
std::string textField(const boost::json::object &object, std::string_view name,
                      std::string_view defaultValue = {});
std::int64_t integerField(const boost::json::object &object, std::string_view name,
                          std::int64_t defaultValue = 0);
double realField(const boost::json::object &object, std::string_view name, double defaultValue);
bool flagField(const boost::json::object &object, std::string_view name, bool defaultValue = false);
std::chrono::milliseconds millisecondsField(const boost::json::object &object,
                                            std::string_view name,
                                            std::chrono::milliseconds defaultValue);
/// Returns an empty array if the field is absent.
boost::json::array arrayField(const boost::json::object &object, std::string_view name);

} // namespace snipestall::standins
