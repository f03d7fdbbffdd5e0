#pragma once

#include "harness/topology_spec.hpp"

#include <string>

namespace snipestall::harness {

// API keys of the settings trees that defaultSettings() makes.
constexpr auto CustomerKey = "test-customer-key";
constexpr auto OtherCustomerKey = "test-other-customer-key";
constexpr auto OperatorKey = "test-operator-key";
constexpr auto BootstrapKey = "test-bootstrap-key";

/// Returns the SHA-256 hash in lower-case hex, the form in which settings store keys.
std::string sha256(const std::string &text);

/// Returns a settings tree for the data centres and services of a topology. It has high limits, two
/// customers and one operator; its plain services are not idempotent.
std::string defaultSettings(const TopologySpec &spec);

} // namespace snipestall::harness
