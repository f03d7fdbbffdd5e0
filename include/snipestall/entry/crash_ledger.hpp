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

/// Which requests were in flight on which backend servers when those died, as far as this instance
/// and its peers have seen. A request is known by its fingerprint, so that a caller who sends the
/// same one again, here or at another instance, does not take down a server each time.
class CrashLedger
{
public:
    /// Of a customer's request, whatever its id.
    static std::uint64_t fingerprint(std::string_view customer, std::string_view service,
                                     std::string_view body);

    /// True if it was not known.
    bool note(const peer::CrashReport &report, std::chrono::steady_clock::time_point now);
    [[nodiscard]] std::set<std::string> servers(std::uint64_t fingerprint) const;
    /// Time left in which a request that has just taken down a server is not begun anew; zero if
    /// none.
    [[nodiscard]] std::chrono::milliseconds
    trialLeft(std::uint64_t fingerprint, std::chrono::steady_clock::time_point now) const;
    /// The newest reports, for heartbeats.
    [[nodiscard]] std::vector<peer::CrashReport> recent() const;
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
