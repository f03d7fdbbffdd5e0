#pragma once

#include "snipestall/policy/death_window.hpp"
#include "snipestall/policy/fair_queue.hpp"
#include "snipestall/policy/flow.hpp"
#include "snipestall/policy/offered_load.hpp"
#include "snipestall/policy/planned_move.hpp"
#include "snipestall/policy/prefix_heat.hpp"
#include "snipestall/policy/prefix_index.hpp"
#include "snipestall/policy/retry_budget.hpp"
#include "snipestall/policy/server.hpp"
#include "snipestall/policy/server_index.hpp"
#include "snipestall/policy/service_time.hpp"
#include "snipestall/settings/service_settings.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace snipestall::policy {

/// Row of the pool table: one service with its queue and the owned backend servers that run it.
struct Pool
{
    std::string service;
    settings::ServiceSettings settings;
    /// False while the settings in force don't name the service.
    bool configured = false;

    FairQueue queue;
    ServerIndex index;
    std::map<ServerHandle, Server *> servers;
    std::map<std::string, std::unique_ptr<Flow>, std::less<>> flows;
    ServiceTime serviceTime;
    /// Offered load of short urgent and of normal work, and the time at which both are evaluated.
    OfferedLoad urgentLoad;
    OfferedLoad normalLoad;
    Time now;
    /// Time at which the normal work refused so far could be served if it had waited outside the
    /// queue and returned in order.
    Time refusedBacklogEnd;
    /// Slots recently used by the work of each lane.
    std::array<OfferedLoad, LaneCount> servedLoad;
    PrefixIndex prefixes;
    PrefixHeat heat;

    /// Streams that wait to be moved off a server under notice.
    std::set<PlannedMove> moves;

    RetryBudget retryBudget;
    DeathWindow deaths;
    /// The last backend server died without notice, and none has come up since.
    bool lostLastServer = false;
    /// Suspects that have no server yet, and the servers reserved for other suspects.
    std::set<QueuedRequest> suspects;
    std::set<ServerHandle> isolated;
    /// Servers in HealthState::Probing.
    std::set<ServerHandle> probing;

    /// Slots that only short urgent work may use.
    [[nodiscard]] std::uint32_t reservedSlots() const;
    /// Slots that the work of a lane can count on.
    [[nodiscard]] std::uint32_t slotsFor(Lane lane) const;
    /// Slots that are free for the work of a lane.
    [[nodiscard]] std::uint32_t freeFor(Lane lane) const;
};

} // namespace snipestall::policy
