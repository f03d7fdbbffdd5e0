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

/// Work that one instance at a time does for all: it reports usage and orders backend servers.
/// Every instance takes part in the election of the lease holder and stores its own counts.
class DutyRunner
{
public:
    DutyRunner(GatewayState &state, platform::StoreClient &store);

    void start();
    [[nodiscard]] bool holdsLease() const;
    [[nodiscard]] std::int64_t fencingToken() const { return m_lease.fencingToken(); }
    /// Sets whether this instance is one of the few that compete for the lease.
    void setCandidate(bool candidate);
    /// Records that a peer has reported that it holds the lease.
    void holderReported();
    /// Stores the counts of this instance and releases the lease.
    wire::Task<void> leave();

private:
    wire::Task<void> leaseLoop();
    wire::Task<void> usageLoop();
    wire::Task<void> fleetLoop();

    wire::Task<void> readLease();
    wire::Task<void> writeLease(serving::LeaseWrite write);
    wire::Task<void> agreeOnTimeOffset();

    /// Stores the counts of this instance for every window that has ended.
    wire::Task<void> storeCounts();
    wire::Task<bool> storeCountsOf(std::int64_t window);
    /// On a hub: stores, for its members, the counts of the windows that have ended.
    wire::Task<void> storeMembersCounts();
    wire::Task<bool> storeMembersCountsOf(std::int64_t window);
    /// Time since the end of a window, by the common time of day.
    [[nodiscard]] std::chrono::milliseconds sinceEndOf(std::int64_t window) const;
    /// Reports the windows that are due, oldest first.
    wire::Task<void> reportDue();
    wire::Task<bool> report(std::int64_t window);
    /// Returns the counts to be reported. Once they are stored they never change.
    wire::Task<std::optional<serving::UsageCounts>> fixedCounts(std::int64_t window);
    wire::Task<std::optional<serving::UsageCounts>> sumOfCounts(std::int64_t window);
    wire::Task<void> removeCounts(std::int64_t window);

    wire::Task<void> orderServers();
    /// Creates the planner of a service from its initial number of servers, which the first holder
    /// stores. Returns false while that number is not known.
    wire::Task<bool> initializePlanner(const std::string &service);
    [[nodiscard]] std::map<std::string, serving::FleetCount>
    countServers(const std::string &service) const;
    [[nodiscard]] platform::DutyHolder holder() const;

    GatewayState &m_state;
    platform::StoreClient &m_store;
    platform::DutyClient m_duties;
    serving::DutyLease m_lease;
    bool m_wasHolder = false;
    bool m_candidate = true;
    SteadyTime m_startedAt;
    /// Last window for which the counts of this instance are stored.
    std::int64_t m_storedUpTo = 0;
    std::int64_t m_membersStoredUpTo = 0;
    /// Last window that this instance has reported while it holds the lease.
    std::int64_t m_reportedUpTo = 0;
    std::map<std::string, serving::FleetPlanner> m_planners;
    std::int64_t m_plannersFencingToken = 0;
};

} // namespace snipestall::gateway
