#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::soak {

/// Faults and planned changes that a run may contain.
enum class FaultKind {
    GatewayKilled,
    AllGatewaysKilled,
    /// The gateway gets SIGTERM, as in a planned rollout.
    GatewayStopped,
    GatewayPaused,
    BackendKilled,
    /// The backend server is killed and started again with the same id.
    BackendReborn,
    /// The backend server gets SIGTERM: it announces that it leaves and exits some seconds later.
    BackendLeaves,
    BackendPaused,
    BackendLinkSilent,
    BackendLinkOneWay,
    BackendLinkReset,
    BackendLinkSlow,
    StoreLinkSilent,
    StoreLinkOneWay,
    StoreLinkReset,
    StoreLinkSlow,
    StoreBusy,
    StoreLosesAnswers,
    StorePaused,
    StoreDropsHistory,
    /// Another program writes into the table of the backend servers and overwrites some entries.
    StoreJunk,
    ConfigurationChanges,
    /// All backend servers refuse most requests.
    BackendsRefuse,
    /// The backend server names a limit of one request per second.
    BackendNamesLimit,
    /// The backend server refuses most requests and asks for rest.
    BackendAsksForRest,
    /// The backend server says in its answers that it leaves, while its entry does not; it gets
    /// SIGTERM at the end.
    BackendSaysItLeaves,
    /// The operators order another software version of a service, whose servers start beside the
    /// old ones. Half of the versions fail requests. The order runs on after the end of the fault.
    VersionOrdered,
    /// Some requests for streams have a part in their prompts that ends each backend server which
    /// begins to answer them.
    PartCrashesBackends,
    /// One customer sends more than the servers carry, which have few slots in the whole run.
    Overload,
    /// The backend servers of the bits of the target are stopped for little more than a second, and
    /// go on then.
    BackendsSilent,
    /// The operators change the idle limit of callers' connections, or the time-outs of all routes.
    IdleLimitChanges,
    TimeoutsChange,
    /// Some callers and servers send messages of which a part doesn't end.
    MessagesWithoutEnd,
};

/// A fault of a process or link; its beginning and end are relative to the start of the run.
struct Fault
{
    FaultKind kind = FaultKind::GatewayKilled;
    /// Selects the process or link: the index is the remainder modulo the number of its kind.
    std::size_t target = 0;
    std::chrono::milliseconds begin { 0 };
    std::chrono::milliseconds end { 0 };
};

/// Whether a fault of this kind is among them.
bool hasKind(const std::vector<Fault> &faults, FaultKind kind);
std::string nameOf(FaultKind kind);
/// Whether operators plan this work, servers only refuse requests or are silent for a short time,
/// or other parties than the callers and servers of a request misbehave; no caller may lose an
/// answer because of it.
bool isPlanned(FaultKind kind);

/// Draws the faults of a run from the seed. Faults may follow one another or overlap. None lasts
/// beyond `quietFrom` but what a server asks for in its answers, and none begins in the
/// first 1.5 s, while the processes start. With `ordersVersion`, one version is ordered.
std::vector<Fault> drawFaults(std::uint64_t seed, std::chrono::milliseconds quietFrom,
                              bool ordersVersion);

} // namespace snipestall::soak
