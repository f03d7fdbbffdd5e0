#include "snipestall/policy/pool.hpp"

#include <algorithm>
#include <cmath>

namespace snipestall::policy {
namespace {

/// Long work keeps at least half of a pool.
constexpr double MaxReservedFraction = 0.5;

constexpr double MinPatientFraction = 0.25;

/// Slots kept open for the next normal request, in addition to the spread of the load.
constexpr std::uint32_t NormalHeadroom = 1;

/// Number of standard deviations of a load that are kept free. A higher value leaves slots idle
/// that longer work could use; urgent work beyond the reserve gets the next slot that becomes free
/// anyway.
constexpr double KeptDeviations = 0.5;

double withSpread(double load)
{
    return load + KeptDeviations * std::sqrt(load);
}

std::uint32_t spreadOf(double load)
{
    return static_cast<std::uint32_t>(KeptDeviations * std::sqrt(load));
}

} // namespace

// Guards against long work that fills every slot for tens of seconds, so that a lookup has to wait
// for a whole review. The settings give the minimum reserve. A pool that short urgent work keeps
// busier than that reserves the slots that such work uses and some of its spread; otherwise long
// work would take those slots in each lull and hold them through the next burst. The number is
// rounded down, so that a pool of few slots is not kept idle for urgent work alone.
std::uint32_t Pool::reservedSlots() const
{
    const double slots = index.totals().slots;
    const double needed = withSpread(urgentLoad.at(now));
    const double most = MaxReservedFraction * slots;
    const double least = std::clamp(settings.urgentReserve, 0.0, MaxReservedFraction) * slots;
    return static_cast<std::uint32_t>(std::floor(std::clamp(needed, least, most)));
}

// Guards against the same load from patient work alone: it would fill the slots that normal work
// leaves in a lull and hold them for tens of seconds. A quarter of the slots stays open to patient
// work, so that it is never starved.
std::uint32_t Pool::slotsFor(Lane lane) const
{
    const std::uint32_t slots = index.totals().slots;
    if (lane == Lane::Urgent)
        return slots;
    const std::uint32_t unreserved = slots - reservedSlots();
    if (lane == Lane::Normal)
        return unreserved;
    const auto least = static_cast<std::uint32_t>(std::ceil(MinPatientFraction * slots));
    const auto normal = static_cast<std::uint32_t>(withSpread(normalLoad.at(now)));
    const std::uint32_t left = unreserved - std::min(unreserved, normal);
    return std::min(unreserved, std::max(least, left));
}

std::uint32_t Pool::freeFor(Lane lane) const
{
    const ServerIndex::Totals &totals = index.totals();
    if (lane == Lane::Urgent)
        return totals.free;
    const std::uint32_t normalLimit = slotsFor(Lane::Normal);
    const std::uint32_t open = normalLimit - std::min(normalLimit, totals.runningNonUrgent);
    const std::uint32_t normalFree = std::min(open, totals.free);
    if (lane == Lane::Normal)
        return normalFree;
    const std::uint32_t patientLimit = slotsFor(Lane::Patient);
    const std::uint32_t patientOpen = patientLimit - std::min(patientLimit, totals.runningPatient);
    // Beyond its part, patient work may use free slots except the headroom for the next normal
    // requests; otherwise slots would idle while patient work waits.
    const std::uint32_t headroom = NormalHeadroom + spreadOf(normalLoad.at(now));
    const std::uint32_t spare = normalFree - std::min(normalFree, headroom);
    return std::max(spare, std::min(patientOpen, normalFree));
}

} // namespace snipestall::policy
