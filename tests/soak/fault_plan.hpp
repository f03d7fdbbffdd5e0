#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::soak {

enum class FaultKind {
    GatewayKilled,
    AllGatewaysKilled,
    /// SIGTERM, as in a planned roll-out.
    GatewayStopped,
    GatewayPaused,
    BackendKilled,
    /// Killed, and started again under the id that it had.
    BackendReborn,
    /// SIGTERM: it says that it leaves, and goes some seconds later.
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
    /// Another program writes into the table of the backend servers, over some entries, too.
    StoreJunk,
    ConfigurationChanges,
};

/// One fault: what is done to which process or link, from when to when of the run.
struct Fault
{
    FaultKind kind = FaultKind::GatewayKilled;
    /// Picks the process or link among those of its kind, by remainder.
    std::size_t target = 0;
    std::chrono::milliseconds begin { 0 };
    std::chrono::milliseconds end { 0 };
};

std::string nameOf(FaultKind kind);
/// Work that operators plan: no caller may lose an answer by it.
bool isPlanned(FaultKind kind);

/// Faults of a run of this length, drawn from the seed: in series and overlapping, none after
/// `quietFrom`. The first seconds are left to the start.
std::vector<Fault> drawFaults(std::uint64_t seed, std::chrono::milliseconds quietFrom);

} // namespace snipestall::soak
