#pragma once

namespace snipestall::settings {
struct ClassSettings;
struct ServiceSettings;
} // namespace snipestall::settings

namespace snipestall::policy {

/// Expected cost of an instance for an hour: its price, and what its reclaims cost.
///
/// `costPreference` is 0 where latency alone counts and 1 where cost alone counts.
double expectedCostPerHour(const settings::ClassSettings &instanceClass,
                           const settings::ServiceSettings &service, double costPreference);

} // namespace snipestall::policy
