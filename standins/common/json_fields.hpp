#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace snipestall::standins {

/// Parses a body that must be a JSON object; throws std::invalid_argument otherwise.
boost::json::object parseObject(std::string_view body);

// Readers of one field; the default where it is absent, std::invalid_argument where it has
// another type.
std::string textField(const boost::json::object &object, std::string_view name,
                      std::string_view absent = {});
std::int64_t numberField(const boost::json::object &object, std::string_view name,
                         std::int64_t absent = 0);
double realField(const boost::json::object &object, std::string_view name, double absent);
bool flagField(const boost::json::object &object, std::string_view name, bool absent = false);
std::chrono::milliseconds millisecondsField(const boost::json::object &object,
                                            std::string_view name,
                                            std::chrono::milliseconds absent);
/// An empty array if absent.
boost::json::array arrayField(const boost::json::object &object, std::string_view name);

} // namespace snipestall::standins
