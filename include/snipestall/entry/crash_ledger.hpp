#pragma once

#include "snipestall/peer/crash_report.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::entry {

/// Records which requests were in flight on which backend servers when those crashed, as observed
/// by this instance and its peers. A request is identified by its fingerprint, so that a caller who
/// repeats the same request, here or at another instance, does not crash another server each time.
class CrashLedger
{
public:
    /// Hash of the content of a customer's request, independent of the request id.
    static std::uint64_t fingerprint(std::string_view customer, std::string_view service,
                                     std::string_view body);

    /// Adds a report; returns false if the same report is already known.
    bool add(const peer::CrashReport &report, std::chrono::steady_clock::time_point now);
    /// Names of the servers whose crash is attributed to the request.
    [[nodiscard]] std::set<std::string> servers(std::uint64_t fingerprint) const;
    /// Time for which further copies of a request that has just crashed a server are still held
    /// back; zero if none.
    [[nodiscard]] std::chrono::milliseconds
    remainingTrialTime(std::uint64_t fingerprint, std::chrono::steady_clock::time_point now) const;
    /// The most recent reports, for heartbeats.
    [[nodiscard]] std::vector<peer::CrashReport> recentReports() const;
    /// Removes old reports.
    void expire(std::chrono::steady_clock::time_point now);

private:
    struct Entry
    {
        peer::CrashReport report;
        std::chrono::steady_clock::time_point at;
    };

    std::vector<Entry> m_entries;
};

} // namespace snipestall::entry
