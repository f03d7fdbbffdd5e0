#include "soak/fault_plan.hpp"

#include "snipestall/base/random.hpp"

#include <algorithm>
#include <array>

namespace snipestall::soak {

using std::chrono::milliseconds;

namespace {

struct KindEntry
{
    FaultKind kind;
    const char *name;
    bool planned;
    /// Shortest and longest duration of the fault.
    milliseconds shortest;
    milliseconds longest;
};

constexpr std::array<KindEntry, 33> Kinds { {
    { FaultKind::GatewayKilled, "gateway-killed", false, milliseconds(200), milliseconds(1500) },
    { FaultKind::AllGatewaysKilled, "all-gateways-killed", false, milliseconds(200),
      milliseconds(900) },
    { FaultKind::GatewayStopped, "gateway-stopped", true, milliseconds(8500), milliseconds(9000) },
    { FaultKind::GatewayPaused, "gateway-paused", false, milliseconds(100), milliseconds(4000) },
    { FaultKind::BackendKilled, "backend-killed", false, milliseconds(200), milliseconds(2500) },
    { FaultKind::BackendReborn, "backend-reborn", false, milliseconds(100), milliseconds(5000) },
    { FaultKind::BackendLeaves, "backend-leaves", true, milliseconds(5000), milliseconds(6000) },
    { FaultKind::BackendPaused, "backend-paused", false, milliseconds(100), milliseconds(3000) },
    { FaultKind::BackendLinkSilent, "backend-link-silent", false, milliseconds(200),
      milliseconds(4000) },
    { FaultKind::BackendLinkOneWay, "backend-link-one-way", false, milliseconds(200),
      milliseconds(4000) },
    { FaultKind::BackendLinkReset, "backend-link-reset", false, milliseconds(50),
      milliseconds(50) },
    { FaultKind::BackendLinkSlow, "backend-link-slow", false, milliseconds(500),
      milliseconds(3000) },
    { FaultKind::StoreLinkSilent, "store-link-silent", false, milliseconds(500),
      milliseconds(6000) },
    { FaultKind::StoreLinkOneWay, "store-link-one-way", false, milliseconds(500),
      milliseconds(5000) },
    { FaultKind::StoreLinkReset, "store-link-reset", false, milliseconds(50), milliseconds(50) },
    { FaultKind::StoreLinkSlow, "store-link-slow", false, milliseconds(500), milliseconds(4000) },
    { FaultKind::StoreBusy, "store-busy", false, milliseconds(500), milliseconds(5000) },
    { FaultKind::StoreLosesAnswers, "store-loses-answers", false, milliseconds(1000),
      milliseconds(5000) },
    { FaultKind::StorePaused, "store-paused", false, milliseconds(300), milliseconds(4000) },
    { FaultKind::StoreDropsHistory, "store-drops-history", false, milliseconds(50),
      milliseconds(50) },
    { FaultKind::StoreJunk, "store-junk", false, milliseconds(50), milliseconds(50) },
    { FaultKind::ConfigurationChanges, "configuration-changes", true, milliseconds(50),
      milliseconds(50) },
    { FaultKind::BackendsRefuse, "backends-refuse", true, milliseconds(1000), milliseconds(6000) },
    { FaultKind::BackendNamesLimit, "backend-names-limit", true, milliseconds(11000),
      milliseconds(11000) },
    { FaultKind::BackendAsksForRest, "backend-asks-for-rest", true, milliseconds(5000),
      milliseconds(5000) },
    { FaultKind::BackendSaysItLeaves, "backend-says-it-leaves", true, milliseconds(5000),
      milliseconds(5000) },
    { FaultKind::VersionOrdered, "version-ordered", true, milliseconds(50), milliseconds(50) },
    { FaultKind::PartCrashesBackends, "part-crashes-backends", false, milliseconds(6000),
      milliseconds(6000) },
    { FaultKind::Overload, "overload", true, milliseconds(4000), milliseconds(4000) },
    { FaultKind::BackendsSilent, "backends-silent", true, milliseconds(1000), milliseconds(1300) },
    { FaultKind::IdleLimitChanges, "idle-limit-changes", true, milliseconds(50), milliseconds(50) },
    { FaultKind::TimeoutsChange, "timeouts-change", true, milliseconds(50), milliseconds(50) },
    { FaultKind::MessagesWithoutEnd, "messages-without-end", true, milliseconds(6000),
      milliseconds(6000) },
} };

const KindEntry &entryOf(FaultKind kind)
{
    return *std::find_if(Kinds.begin(), Kinds.end(),
                         [kind](const KindEntry &entry) { return entry.kind == kind; });
}

/// The kinds after these are drawn separately.
constexpr std::size_t IndependentKinds = 22;
/// The first fault begins at this time, when instances and backend servers have started.
constexpr milliseconds FirstFault { 1500 };
/// Mean interval in ms between the beginnings of two drawn faults, so that some faults overlap and
/// some don't.
constexpr double MeanIntervalMs = 700;

/// After this time without faults no instance is excused.
constexpr milliseconds ContactTime { 3000 };

/// Whether the store itself carries out the fault. A paused store would block the request for it.
bool needsStoreControl(FaultKind kind)
{
    return kind == FaultKind::StoreBusy || kind == FaultKind::StoreLosesAnswers
        || kind == FaultKind::StoreDropsHistory || kind == FaultKind::StoreJunk
        || kind == FaultKind::ConfigurationChanges;
}

bool overlapsPause(const Fault &fault, const std::vector<Fault> &others)
{
    return std::any_of(others.begin(), others.end(), [&fault](const Fault &other) {
        const bool overlap = fault.begin <= other.end && other.begin <= fault.end;
        const bool involvesPause =
            fault.kind == FaultKind::StorePaused || other.kind == FaultKind::StorePaused;
        const bool involvesStoreControl =
            needsStoreControl(fault.kind) || needsStoreControl(other.kind);
        return overlap && involvesPause && involvesStoreControl;
    });
}

} // namespace

bool hasKind(const std::vector<Fault> &faults, FaultKind kind)
{
    return std::ranges::find(faults, kind, &Fault::kind) != faults.end();
}

std::string nameOf(FaultKind kind)
{
    return entryOf(kind).name;
}

bool isPlanned(FaultKind kind)
{
    return entryOf(kind).planned;
}

namespace {

/// Adds the kinds that are drawn separately, each to every other run, so that the other faults of a
/// seed stay the same.
void addNeeds(std::uint64_t seed, milliseconds quietFrom, std::vector<Fault> &faults)
{
    constexpr std::uint64_t SeedOffset = 7919;
    Random random(seed + SeedOffset);
    const KindEntry &refusal = entryOf(FaultKind::BackendsRefuse);
    const auto spread = static_cast<std::uint64_t>((refusal.longest - refusal.shortest).count());
    const milliseconds length =
        refusal.shortest + milliseconds(static_cast<std::int64_t>(random.below(spread + 1)));
    const auto range =
        static_cast<std::uint64_t>(std::max(quietFrom - FirstFault, milliseconds(1)).count());
    const milliseconds begin =
        FirstFault + milliseconds(static_cast<std::int64_t>(random.below(range)));
    if (random.below(2) == 0)
        faults.push_back(
            { FaultKind::BackendsRefuse, 0, begin, std::min(begin + length, quietFrom) });
    // In the quiet period, no restart excuses an instance, and the server keeps its limit.
    const std::uint64_t target = random.below(1000);
    if (random.below(2) == 0) {
        faults.push_back({ FaultKind::BackendNamesLimit, target, quietFrom,
                           quietFrom + entryOf(FaultKind::BackendNamesLimit).longest });
        return;
    }
    // One of three servers of a service at a time, so that the others carry the load.
    const FaultKind kind =
        random.below(2) == 0 ? FaultKind::BackendAsksForRest : FaultKind::BackendSaysItLeaves;
    const milliseconds from = quietFrom + ContactTime;
    faults.push_back({ kind, target, from, from + entryOf(kind).longest });
}

/// Every other run with unplanned faults has it. It lasts up to the quiet end, so that the time is
/// long enough in which no more requests with the part may reach servers.
void addCrashingPart(std::uint64_t seed, milliseconds quietFrom, std::vector<Fault> &faults)
{
    constexpr std::uint64_t SeedOffset = 15485863;
    Random random(seed + SeedOffset);
    const milliseconds latest = quietFrom - entryOf(FaultKind::PartCrashesBackends).shortest;
    if (random.below(2) != 0 || latest < FirstFault)
        return;
    const auto range = static_cast<std::uint64_t>((latest - FirstFault).count());
    const milliseconds begin =
        FirstFault + milliseconds(static_cast<std::int64_t>(random.below(range + 1)));
    faults.push_back({ FaultKind::PartCrashesBackends, 0, begin, quietFrom });
}

/// Every third run has it.
void addOverload(std::uint64_t seed, milliseconds quietFrom, std::vector<Fault> &faults)
{
    constexpr std::uint64_t SeedOffset = 1299709;
    Random random(seed + SeedOffset);
    const milliseconds length = entryOf(FaultKind::Overload).longest;
    if (random.below(3) != 0 || quietFrom - length < FirstFault)
        return;
    const auto range = static_cast<std::uint64_t>((quietFrom - length - FirstFault).count());
    const milliseconds begin =
        FirstFault + milliseconds(static_cast<std::int64_t>(random.below(range + 1)));
    faults.push_back({ FaultKind::Overload, 0, begin, begin + length });
}

Fault drawVersionOrder(std::uint64_t seed)
{
    constexpr std::uint64_t SeedOffset = 104729;
    /// The order is given this long after the first fault at the latest, so that it ends in a run
    /// of 20 s.
    constexpr std::uint64_t RangeMs = 3000;
    Random random(seed + SeedOffset);
    const milliseconds begin =
        FirstFault + milliseconds(static_cast<std::int64_t>(random.below(RangeMs)));
    const std::uint64_t target = random.below(1000);
    return { FaultKind::VersionOrdered, target, begin,
             begin + entryOf(FaultKind::VersionOrdered).longest };
}

} // namespace

std::vector<Fault> drawFaults(std::uint64_t seed, milliseconds quietFrom, bool ordersVersion)
{
    Random random(seed);
    std::vector<Fault> faults;
    milliseconds at = FirstFault;
    // Some runs contain planned work only; in these runs no answer at all may be lost.
    const bool plannedOnly = random.below(4) == 0;
    while (at < quietFrom) {
        const KindEntry &entry = Kinds.at(random.below(IndependentKinds));
        const auto spread = static_cast<std::uint64_t>((entry.longest - entry.shortest).count());
        const milliseconds length =
            entry.shortest + milliseconds(static_cast<std::int64_t>(random.below(spread + 1)));
        const Fault fault { entry.kind, random.below(1000), at, std::min(at + length, quietFrom) };
        if ((!plannedOnly || entry.planned) && !overlapsPause(fault, faults))
            faults.push_back(fault);
        at += milliseconds(static_cast<std::int64_t>(random.exponential(MeanIntervalMs)));
    }
    addNeeds(seed, quietFrom, faults);
    if (!plannedOnly)
        addCrashingPart(seed, quietFrom, faults);
    addOverload(seed, quietFrom, faults);
    if (ordersVersion)
        faults.push_back(drawVersionOrder(seed));
    return faults;
}

} // namespace snipestall::soak
