#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/recent_hashes.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace snipestall::serving {

/// A request, by its fingerprint, was in flight at a server that ended.
struct CrashReport
{
    std::uint64_t fingerprint = 0;
    std::string server;
};

/// Keeps a request that ends each server that runs it from ending many.
///
/// Load: one request, sent again and again by its caller to any instance, ends every server that
/// begins it. Harm: each time, everything else on that server is lost. A request whose connection
/// broke counts against a server only once that server refuses connections: a lost answer alone
/// says nothing about the request, nor does a server that a partition hides. What was in flight at
/// three servers when they ended is refused; innocent requests beside it are rarely at three, and
/// one that a server has answered is innocent. Reports go round among the instances.
class CrashWatch
{
public:
    /// The connection broke before the end of the answer. True if the caller is to find out
    /// whether the server has ended, and to tell it; false if that is under way already.
    bool broke(std::uint64_t fingerprint, const std::string &server, SteadyTime now);
    /// Whether the first look at a server that broke off is still under way.
    [[nodiscard]] bool inDoubt(const std::string &server) const;
    /// The first look found the server taking connections.
    void stillListens(const std::string &server);
    /// The server refuses connections: what broke there just before is reported.
    void refused(const std::string &server, SteadyTime now);
    void reported(const CrashReport &report, SteadyTime now);
    /// A server answered the request: it is not the cause of any end.
    void answered(std::uint64_t fingerprint, SteadyTime now);
    /// Whether a server has answered it within the last minutes.
    [[nodiscard]] bool isInnocent(std::uint64_t fingerprint) const;
    /// Whether a server has ended while it was in flight there.
    [[nodiscard]] bool hasEndedServer(std::uint64_t fingerprint) const;
    [[nodiscard]] bool blocked(std::uint64_t fingerprint, SteadyTime now) const;
    /// What other instances are to be told.
    [[nodiscard]] std::vector<CrashReport> recent(SteadyTime now) const;

private:
    static constexpr std::size_t MostServers = 3;
    /// A server that ended refuses connections well within this time.
    static constexpr std::chrono::milliseconds SuspectFor { 1500 };
    /// A caller that repeats such a request does so within its deadline, and again.
    static constexpr std::chrono::seconds BlockedFor { 120 };
    /// Reports are told to peers for several exchanges.
    static constexpr std::chrono::seconds ToldFor { 3 };
    static constexpr std::size_t MostFingerprints = 4096;

    struct Suspect
    {
        std::uint64_t fingerprint = 0;
        SteadyTime time;
    };
    struct Ended
    {
        std::set<std::string> servers;
        SteadyTime last;
    };
    struct Told
    {
        CrashReport report;
        SteadyTime time;
    };

    std::map<std::string, std::vector<Suspect>> m_suspects;
    std::set<std::string> m_inDoubt;
    RecentHashes m_answered;
    std::map<std::uint64_t, Ended> m_ended;
    std::vector<Told> m_told;
};

} // namespace snipestall::serving
