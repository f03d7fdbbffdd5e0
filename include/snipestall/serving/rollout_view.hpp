#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/rollout.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipestall {
class Random;
}

namespace snipestall::serving {

/// The versions of a service's servers that one request may be sent to.
enum class VersionChoice {
    /// Versions make no difference.
    Any,
    /// Only versions that are in service.
    Old,
    /// The version that an order moves the traffic to, or the old ones if it has no server.
    New,
    /// Only the version that an order moves the traffic to.
    NewOnly,
};

/// What this instance knows about software versions and rollouts, and which version it sends a
/// request to.
///
/// Failure: a server of a version that no order has released yet, or of one that was rolled back,
/// runs requests. A version that is listed for the first time therefore gets nothing for some
/// seconds, until the operator's table is known to have no order for it. The target of an order
/// gets only what the latest stage allows, and a stage expires: an instance that is cut off, or
/// whose lease holder has stopped, falls back to the old version within `StageValidFor`.
class RolloutView
{
public:
    /// If not `enabled`, all versions are used alike.
    explicit RolloutView(bool enabled = false)
        : m_enabled(enabled)
    { }

    [[nodiscard]] bool enabled() const { return m_enabled; }
    /// A server of this version is listed.
    void serverListed(const std::string &service, const std::string &version, SteadyTime now);
    /// All orders up to this time are known.
    void ordersKnownAsOf(SteadyTime time);
    /// Returns false if the order was known.
    bool orderReceived(const RolloutOrder &order);
    /// The operator has withdrawn the order of a service.
    void orderRemoved(const std::string &service);
    /// A stage was heard from a peer, read from the store or issued by this instance. Returns true
    /// if its step is new here.
    bool stageReceived(const RolloutStage &stage, SteadyTime now);
    /// Versions that are out of service as of an earlier order.
    void versionsBarred(const std::string &service, const std::set<std::string> &versions);

    /// The order of a service that has neither been completed nor rolled back; null if none.
    [[nodiscard]] const RolloutOrder *activeOrder(const std::string &service) const;
    [[nodiscard]] std::vector<RolloutOrder> activeOrders() const;
    /// The latest stage of each order, for the reports to peers.
    [[nodiscard]] std::vector<RolloutStage> stages() const;
    /// Whether this instance does what the latest stage of an active order says.
    [[nodiscard]] bool isFollowing(const std::string &service, SteadyTime now) const
    {
        return followedNumber(service, now) != 0;
    }
    /// The number of the stage that this instance follows; 0 if it follows none.
    [[nodiscard]] std::uint64_t followedNumber(const std::string &service, SteadyTime now) const;
    [[nodiscard]] std::set<std::string> barred(const std::string &service) const;
    /// Versions in service, the target of an active order excluded.
    [[nodiscard]] std::set<std::string> inService(const std::string &service) const;

    /// Chooses the version for one request. `mayTry`: the request may go to a version that is being
    /// judged.
    [[nodiscard]] VersionChoice choose(const std::string &service, const std::string &route,
                                       bool mayTry, Random &random, SteadyTime now) const;
    /// Whether servers of a version may get a request for which `choice` was made.
    [[nodiscard]] bool allows(const std::string &service, const std::string &version,
                              VersionChoice choice) const;
    /// Whether a request that was placed on a server of a version may still be sent there.
    [[nodiscard]] bool maySend(const std::string &service, const std::string &version,
                               SteadyTime now) const;
    /// Whether a version is the target of an active order and not in service yet.
    [[nodiscard]] bool isOnTrial(const std::string &service, const std::string &version) const;
    /// Number of servers of the new version that get requests; 0 means all.
    [[nodiscard]] std::uint32_t serversInUse(const std::string &service) const;

    /// The new version has answered a request of this instance, well or badly. After several bad
    /// answers in a row this instance sends it nothing for a while, without waiting for a verdict.
    void newVersionAnswered(const std::string &service, bool good, SteadyTime now);

private:
    /// Several intervals of the exchange over two hops. A stage that is older may have been
    /// replaced by one that this instance can't hear.
    static constexpr std::chrono::milliseconds StageValidFor { 1500 };
    static constexpr int MaxBadInRow = 4;
    static constexpr std::chrono::milliseconds PauseAfterBad { 2000 };
    /// A version that no order names is used after this long, as when servers are replaced without
    /// an order. The platform starts the servers of an order's version about when it is given.
    static constexpr std::chrono::milliseconds UnorderedFor { 10000 };
    /// Bounds what a faulty list can make this instance keep.
    static constexpr std::size_t MaxVersions = 64;

    struct Service
    {
        std::set<std::string> accepted;
        /// Versions that were listed before the orders of that time were known, with that time.
        std::map<std::string, SteadyTime> unconfirmed;
        std::set<std::string> barred;
        std::optional<RolloutOrder> order;
        std::optional<RolloutStage> stage;
        SteadyTime stageAt;
        int badInRow = 0;
        SteadyTime pausedUntil;
    };

    static bool isActive(const Service &service);
    /// Whether this instance follows the latest stage.
    static bool follows(const Service &service, SteadyTime now);
    /// Makes the target of a completed order the version in service, or bars that of one that was
    /// rolled back.
    static void conclude(Service &service);
    [[nodiscard]] const Service *find(const std::string &service) const;

    bool m_enabled;
    std::map<std::string, Service> m_services;
};

} // namespace snipestall::serving
