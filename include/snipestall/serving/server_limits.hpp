#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipestall::serving {

struct ServerState;

/// What is known of the limit that a backend server has named.
struct ServerLimitReport
{
    /// Key of the server.
    std::string server;
    /// Requests per second from all instances together; not set if the server has lifted its limit.
    std::optional<double> perSecond;
    /// Time since an answer of the server said so.
    std::chrono::milliseconds age { 0 };
};

/// Keeps the limits that backend servers name for all instances together.
///
/// Load: a server in need takes a few requests per second, and hundreds of instances send to it.
/// Harm: if each instance kept the limit alone, the server would get a multiple of it; if each got
/// an equal share, the first request of each would exceed it. Only a few instances therefore send
/// to such a server, about one for each request per second, and share its limit equally. All
/// instances agree on them without messages, by rendezvous hashing over the registered instances.
/// What a server names is passed on in the reports between the instances; the newest answer counts.
class ServerLimits
{
public:
    explicit ServerLimits(std::string self);

    /// Sets the registered instances, this one included, with their data centres.
    void setInstances(std::map<std::string, std::string> dataCentres);

    /// The server has answered and named a limit, or none. Returns whether that is new.
    bool answered(const ServerState &server, std::optional<double> perSecond, SteadyTime now);
    /// Applies the report of a peer. Returns whether it changes what is known.
    bool apply(const ServerLimitReport &report, SteadyTime now);
    /// What the peers are to know, newest first; a limited number.
    [[nodiscard]] std::vector<ServerLimitReport> reports(SteadyTime now) const;

    [[nodiscard]] bool isLimited(const std::string &server) const;
    /// Returns whether this instance may send a request to the server now.
    [[nodiscard]] bool maySend(const ServerState &server, SteadyTime now) const;
    /// Counts a request that is sent to the server.
    void requestSent(const ServerState &server, SteadyTime now);
    /// Time until this instance may send to the server again; not set if others send to it.
    [[nodiscard]] std::optional<std::chrono::milliseconds> waitFor(const ServerState &server,
                                                                   SteadyTime now) const;
    /// The incarnation has ended.
    void forgetServer(const std::string &server);
    /// Number of servers with a limit.
    [[nodiscard]] std::size_t size() const;

private:
    /// A server that names less still gets requests at this rate, since only its answers can show
    /// that it takes more again.
    static constexpr double MinPerSecond = 0.1;
    /// Each instance that sends gets at least this many requests per second of the limit, so that
    /// the first requests of all of them stay far below it.
    static constexpr double MinShare = 1;
    /// Requests that an instance may send at once are those of this time, but at least one.
    static constexpr std::chrono::milliseconds BurstTime { 250 };
    /// Part of the limit that is used. The rest is for instances that do not know of a change yet.
    static constexpr double UsedFraction = 0.9;
    /// Peers have been told of a lifted limit within this time.
    static constexpr std::chrono::seconds LiftedKeptFor { 10 };
    /// Longer than the interval at which any server with a limit is asked. Older limits are not
    /// passed on, so that those of servers that have ended do not circulate.
    static constexpr std::chrono::seconds ReportedFor { 30 };
    /// A limit that no answer has confirmed for so long is dropped, because the instances that
    /// should send to the server may have ended.
    static constexpr std::chrono::seconds KeptFor { 120 };
    /// Bounds the size of a message.
    static constexpr std::size_t MaxReports = 200;

    struct Limit
    {
        std::optional<double> perSecond;
        /// Time of the answer that said so.
        SteadyTime saidAt;
        /// Requests that this instance may send.
        double tokens = 0;
        SteadyTime filledAt;
    };

    /// Place of this instance in the order of those that may send to a server, from 0.
    struct Rank
    {
        std::size_t place = 0;
        std::size_t candidates = 0;
    };

    /// How long what is known of a server is kept after the answer that said so.
    [[nodiscard]] static std::chrono::seconds keptFor(const Limit &limit);
    void dropOld(SteadyTime now);
    bool set(const std::string &server, std::optional<double> perSecond, SteadyTime saidAt,
             SteadyTime now);
    [[nodiscard]] Rank rankFor(const ServerState &server) const;
    /// Requests per second that this instance may send; 0 if others send to the server.
    [[nodiscard]] double ownRate(const ServerState &server, double perSecond) const;
    [[nodiscard]] static double tokensAt(const Limit &limit, double rate, SteadyTime now);

    std::string m_self;
    std::map<std::string, std::string> m_dataCentres;
    std::unordered_map<std::string, Limit> m_limits;
    /// By server; emptied when the instances change.
    mutable std::unordered_map<std::string, Rank> m_ranks;
};

} // namespace snipestall::serving
