#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipestall::serving {

struct ServerState;

/// A service whose servers fail if they have to reject requests, and the time since an answer of
/// one of them said so.
struct RejectionReport
{
    std::string service;
    std::chrono::milliseconds age { 0 };
};

/// Shares out the slots of servers that must not have to reject requests.
///
/// Load: the servers of a service say that they fail if they reject more than a few requests in a
/// second, and hundreds of instances send to each of them. Harm: what an instance knows of the
/// requests of the others is some hundred milliseconds old, so in a burst all of them find the same
/// slots free, and the server fails. Each slot therefore belongs to one instance, which keeps it
/// without asking anyone: all instances agree on that without messages, by rendezvous hashing over
/// the registered instances. With fewer slots than instances some have no share of a server;
/// they forward what they have no share for to one that has.
class SlotShares
{
public:
    explicit SlotShares(std::string self);

    /// Sets the registered instances, this one included, with their data centres.
    void setInstances(std::map<std::string, std::string> dataCentres);

    /// A server of this service has said some time ago that it must not have to reject requests.
    /// Returns whether the slots of the service are shared only from now on.
    bool named(const RejectionReport &report, SteadyTime now);
    /// What the peers are to know.
    [[nodiscard]] std::vector<RejectionReport> reports(SteadyTime now) const;
    /// Whether the slots of the service's servers are shared out.
    [[nodiscard]] bool isShared(const std::string &service, SteadyTime now) const;
    /// Returns whether this instance may send one more request to the server.
    [[nodiscard]] bool maySend(const ServerState &server, SteadyTime now) const;
    /// Number of requests that this instance may have at the server at a time.
    [[nodiscard]] std::size_t ownShare(const ServerState &server) const;
    /// The instances that have a share of the server.
    [[nodiscard]] std::vector<std::string> holders(const ServerState &server) const;
    /// The incarnation has ended.
    void forgetServer(const std::string &server) { m_places.erase(server); }

private:
    /// Part of the slots that is used. The rest is for requests that have been given up and that
    /// the server still works on, and for instances that see other instances than the rest.
    static constexpr double UsedFraction = 0.8;
    /// Several answers come within this time if any request is sent to the service.
    static constexpr std::chrono::milliseconds KeptFor { 3000 };

    [[nodiscard]] static std::size_t usedSlots(const ServerState &server);
    /// The instances in the order in which they get slots: those of the server's data centre first.
    [[nodiscard]] std::vector<std::string> orderFor(const ServerState &server) const;
    [[nodiscard]] std::size_t placeFor(const ServerState &server) const;

    std::string m_self;
    std::map<std::string, std::string> m_dataCentres;
    /// When a server of a service last said so.
    std::map<std::string, SteadyTime> m_namedAt;
    /// Place of this instance in the order, by server; emptied when the instances change.
    mutable std::unordered_map<std::string, std::size_t> m_places;
};

} // namespace snipestall::serving
