#include "snipestall/policy/class_cost.hpp"

#include "snipestall/settings/class_settings.hpp"
#include "snipestall/settings/service_settings.hpp"

#include <chrono>

namespace snipestall::policy {
namespace {

/// A reclaim costs the time to start a replacement and to recompute the lost work. Where latency
/// counts, that time is weighted many times over because callers wait for it.
constexpr double LatencyWeight = 20.0;

/// Time that the whole instance spends on recomputing tokens after a reclaim.
constexpr double RecomputeSeconds = 10.0;

constexpr double SecondsPerHour = 3600.0;

} // namespace

double expectedCostPerHour(const settings::ClassSettings &instanceClass,
                           const settings::ServiceSettings &service, double costPreference)
{
    const double hazard = instanceClass.reclaimable ? instanceClass.reclaimsPerHour : 0.0;
    const double startSeconds = std::chrono::duration<double>(service.startTime).count();
    const double lostHours = (startSeconds + RecomputeSeconds) / SecondsPerHour;
    const double latencyFactor = 1.0 + LatencyWeight * (1.0 - costPreference);
    return instanceClass.pricePerHour * (1.0 + hazard * lostHours * latencyFactor);
}

} // namespace snipestall::policy
