#pragma once

#include "platform/cloud.hpp"

#include "snipestall/platform/listed_instance.hpp"
#include "snipestall/platform/row.hpp"
#include "snipestall/platform/transaction.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <span>
#include <vector>

namespace snipestall::standins {

// The parse functions throw std::invalid_argument for an invalid body.
platform::Transaction parseTransaction(const boost::json::object &body);
std::vector<platform::RowKey> parseKeys(const boost::json::object &body);
platform::ListedInstance parseInstance(const boost::json::object &body);
platform::StartOrder parseStart(const boost::json::object &body);

boost::json::array toJson(std::span<const platform::Row> rows);
boost::json::array toJson(std::span<const platform::ListedInstance> instances);
boost::json::array toJson(std::span<const Start> starts);

} // namespace snipestall::standins
