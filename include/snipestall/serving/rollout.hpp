#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace snipestall::serving {

/// An operator's order to move the traffic of a service to servers of another software version.
struct RolloutOrder
{
    std::string service;
    /// The version that the traffic moves to.
    std::string version;
    /// Time from the order within which the move has to be completed or rolled back.
    std::chrono::milliseconds duration { 0 };
    /// Identifies the order; a later order of the same service has a larger number.
    std::int64_t id = 0;

    bool operator==(const RolloutOrder &other) const = default;
};

/// Progress of a rollout.
enum class RolloutStep {
    /// No server of the new version takes work yet.
    Waiting,
    /// A small part of the requests goes to the new version, while it is judged.
    Trial,
    /// The new version has looked good so far and gets a larger part.
    Growing,
    /// All new requests go to the new version; those that run on the old one end.
    Switched,
    /// The old version has nothing left to do. It gets no request again, whatever an instance
    /// hears, because its servers may be stopped at any moment.
    Completing,
    /// The old servers are stopped.
    Completed,
    /// The new version was found bad, or was not found good in time.
    RolledBack,
};

/// The name of a step in log lines and in stored rows.
const char *toString(RolloutStep step);
/// The step of that name; `Waiting` if there is none.
RolloutStep rolloutStepOf(const std::string &name);
/// Whether a step is the last one of an order.
bool isFinal(RolloutStep step);

/// What all instances are to do for one order at the moment. The holder of the lease issues a new
/// stage several times a second, with a larger number each time.
struct RolloutStage
{
    std::string service;
    std::string version;
    std::int64_t order = 0;
    std::uint64_t number = 0;
    RolloutStep step = RolloutStep::Waiting;
    /// Part of the requests of each route that goes to the new version; routes that are not named
    /// get `defaultShare`.
    std::map<std::string, double> shares;
    double defaultShare = 0;
    /// Number of servers of the new version that get requests; 0 means all.
    std::uint32_t servers = 0;

    [[nodiscard]] double shareOf(const std::string &route) const;
};

} // namespace snipestall::serving
