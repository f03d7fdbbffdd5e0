#pragma once

#include "harness/topology_spec.hpp"

#include <string>

namespace snipestall::harness {

// Keys of the trees that defaultSettings() makes.
constexpr auto CustomerKey = "test-customer-key";
constexpr auto OtherCustomerKey = "test-other-customer-key";
constexpr auto OperatorKey = "test-operator-key";
constexpr auto BootstrapKey = "test-bootstrap-key";

/// Lower-case hex SHA-256, as the settings hold keys.
std::string sha256(const std::string &text);

/// A tree for the data centres and services of a topology: generous limits, two customers, one
/// operator, plain services not idempotent.
std::string defaultSettings(const TopologySpec &spec);

} // namespace snipestall::harness
