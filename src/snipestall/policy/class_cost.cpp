#include "snipestall/policy/class_cost.hpp"

#include "snipestall/settings/class_settings.hpp"
#include "snipestall/settings/service_settings.hpp"

#include <chrono>

namespace snipestall::policy {
namespace {

/// A reclaim costs the time to start a replacement and to recompute what was lost; where latency
/// counts, that time is paid many times over by callers who wait.
constexpr double LatenessWeight = 20.0;

/// Tokens recomputed after a reclaim, as time of the whole instance.
constexpr double RecomputeSeconds = 10.0;

constexpr double SecondsPerHour = 3600.0;

} // namespace

double expectedCostPerHour(const settings::ClassSettings &instanceClass,
                           const settings::ServiceSettings &service, double costPreference)
{
    const double hazard = instanceClass.reclaimable ? instanceClass.reclaimsPerHour : 0.0;
    const double startSeconds = std::chrono::duration<double>(service.startTime).count();
    const double lostHours = (startSeconds + RecomputeSeconds) / SecondsPerHour;
    const double lateness = 1.0 + LatenessWeight * (1.0 - costPreference);
    return instanceClass.pricePerHour * (1.0 + hazard * lostHours * lateness);
}

} // namespace snipestall::policy
