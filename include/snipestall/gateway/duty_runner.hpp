#pragma once

#include "platform/duty_client.hpp"
#include "platform/store_row.hpp"
#include "snipestall/serving/duty_lease.hpp"
#include "snipestall/serving/fleet_planner.hpp"
#include "snipestall/wire/task.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace snipestall::platform {
class StoreClient;
}

namespace snipestall::gateway {

struct GatewayState;

/// What one instance at a time does for all: it reports usage and orders backend servers. Every
/// instance takes part in the lease and stores its own counts.
class DutyRunner
{
public:
    DutyRunner(GatewayState &state, platform::StoreClient &store);

    void start();
    [[nodiscard]] bool holdsLease() const;
    /// Whether this instance is one of the few that compete for the lease.
    void setCandidate(bool candidate);
    /// A peer says that it holds the lease.
    void holderHeard();
    /// Stores what was counted and gives the lease up.
    wire::Task<void> leave();

private:
    wire::Task<void> leaseLoop();
    wire::Task<void> usageLoop();
    wire::Task<void> fleetLoop();

    wire::Task<void> readLease();
    wire::Task<void> writeLease(serving::LeaseWrite write);
    wire::Task<void> agreeOnTime();

    /// Stores this instance's counts of every window that has ended.
    wire::Task<void> storeCounts();
    wire::Task<bool> storeCountsOf(std::int64_t window);
    /// As a hub: stores what is known of the windows that have ended, for the members.
    wire::Task<void> storeMembersCounts();
    wire::Task<bool> storeMembersCountsOf(std::int64_t window);
    /// How long ago a window ended, in true time.
    [[nodiscard]] std::chrono::milliseconds sinceEndOf(std::int64_t window) const;
    /// Reports the windows that are due, oldest first.
    wire::Task<void> reportDue();
    wire::Task<bool> report(std::int64_t window);
    /// The counts to be reported: once fixed in the store they never change.
    wire::Task<std::optional<serving::UsageCounts>> fixedCounts(std::int64_t window);
    wire::Task<std::optional<serving::UsageCounts>> sumOfCounts(std::int64_t window);
    wire::Task<void> removeCounts(std::int64_t window);

    wire::Task<void> orderServers();
    wire::Task<bool> learnUsualFleet(const std::string &service);
    [[nodiscard]] std::map<std::string, serving::FleetCount>
    countServers(const std::string &service) const;
    [[nodiscard]] platform::DutyHolder holder() const;

    GatewayState &m_state;
    platform::StoreClient &m_store;
    platform::DutyClient m_duties;
    serving::DutyLease m_lease;
    bool m_held = false;
    bool m_candidate = true;
    SteadyTime m_startedAt;
    /// Windows whose own counts are stored.
    std::int64_t m_storedUpTo = 0;
    std::int64_t m_membersStoredUpTo = 0;
    /// Windows reported by this instance while it holds the lease.
    std::int64_t m_reportedUpTo = 0;
    std::map<std::string, serving::FleetPlanner> m_planners;
    std::int64_t m_plannersFence = 0;
};

} // namespace snipestall::gateway
