#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/recent_hashes.hpp"
#include "snipestall/serving/part_crash_watch.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace snipestall::serving {

/// Reports that a request, identified by its fingerprint, was in flight at a server when that
/// server crashed.
struct CrashReport
{
    std::uint64_t fingerprint = 0;
    std::string server;
    /// Time since the crash.
    std::chrono::milliseconds age { 0 };
};

/// Blocks requests that crash the servers that run them.
///
/// Load: one caller repeatedly sends a request, to any instance, that crashes every server that
/// starts it. Harm: each crash also loses all other work on that server. A request whose connection
/// broke counts against a server only once that server refuses connections, because a lost answer
/// alone does not show that the request is at fault, and neither does a server that cannot be
/// reached across a network partition. A request that was in flight at three servers when they
/// crashed is refused. Other requests that run beside it are rarely in flight at three such
/// servers, and a request that a server has answered is known to be harmless. The instances
/// exchange their reports. Ends that are explained by a part of other requests' prompts do not
/// count.
class CrashWatch
{
public:
    /// The connection to `server` broke before the end of the answer. Returns true if it now has to
    /// be checked whether the server has crashed, with the result reported by foundRunning() or
    /// connectionRefused(); false if such a check is already under way.
    /// `suspects`: the parts of the request's prompt, if its answer had not or had just begun.
    bool connectionBroke(std::uint64_t fingerprint, const std::string &server, SteadyTime now,
                         PromptParts suspects = {});
    /// Whether the check of a server whose connection broke is still under way.
    [[nodiscard]] bool isBeingChecked(const std::string &server) const;
    /// The check found that the server accepts connections.
    void foundRunning(const std::string &server);
    /// The server refuses connections. Reports all requests whose connections to it broke shortly
    /// before.
    void connectionRefused(const std::string &server, SteadyTime now);
    /// Adds a report of this instance or of a peer.
    void addReport(const CrashReport &report, SteadyTime now);
    /// A server answered the request, so the request is not the cause of any crash.
    void requestAnswered(std::uint64_t fingerprint, SteadyTime now);
    /// Whether a server has answered the request within the last minutes.
    [[nodiscard]] bool wasAnswered(std::uint64_t fingerprint) const;
    /// Whether a server has crashed while the request was in flight there.
    [[nodiscard]] bool hasCrashedServer(std::uint64_t fingerprint) const;
    /// Whether the request has to be refused.
    [[nodiscard]] bool isBlocked(std::uint64_t fingerprint, SteadyTime now) const;
    /// Recent reports that have to be sent to the other instances.
    [[nodiscard]] std::vector<CrashReport> recentReports(SteadyTime now) const;
    /// Reports of all requests that count as crashing, newest first, for an instance that has just
    /// started; a limited number.
    [[nodiscard]] std::vector<CrashReport> allReports(SteadyTime now) const;

    [[nodiscard]] PartCrashWatch &parts() { return m_parts; }
    [[nodiscard]] const PartCrashWatch &parts() const { return m_parts; }

private:
    static constexpr std::size_t BlockThreshold = 3;
    /// A crashed server refuses connections well within this time.
    static constexpr std::chrono::milliseconds SuspectPeriod { 1500 };
    /// Callers repeat such a request within its deadline, possibly more than once.
    static constexpr std::chrono::seconds BlockPeriod { 120 };
    /// Each report is included in several exchanges with the peers.
    static constexpr std::chrono::seconds ReportPeriod { 3 };
    static constexpr std::size_t MaxFingerprints = 4096;
    /// Bounds the size of a message.
    static constexpr std::size_t MaxReports = 300;

    struct BrokenRequest
    {
        std::uint64_t fingerprint = 0;
        PromptParts suspects;
        SteadyTime time;
    };
    struct CrashedServers
    {
        std::set<std::string> servers;
        SteadyTime last;
    };
    struct RecentReport
    {
        CrashReport report;
        SteadyTime time;
    };

    /// Returns the report with its age at `now`.
    [[nodiscard]] static CrashReport reportAt(std::uint64_t fingerprint, const std::string &server,
                                              SteadyTime crashed, SteadyTime now);

    std::map<std::string, std::vector<BrokenRequest>> m_brokenRequests;
    std::set<std::string> m_checking;
    PartCrashWatch m_parts;
    RecentHashes m_answered;
    std::map<std::uint64_t, CrashedServers> m_crashedServers;
    std::vector<RecentReport> m_recentReports;
};

} // namespace snipestall::serving
