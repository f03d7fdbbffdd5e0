#pragma once

namespace snipestall::settings {
struct ClassSettings;
struct ServiceSettings;
} // namespace snipestall::settings

namespace snipestall::policy {

/// Expected cost of an instance per hour: its price plus the cost of its reclaims.
///
/// `costPreference` is 0 where only latency counts and 1 where only cost counts.
double expectedCostPerHour(const settings::ClassSettings &instanceClass,
                           const settings::ServiceSettings &service, double costPreference);

} // namespace snipestall::policy
