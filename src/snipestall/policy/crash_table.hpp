#pragma once

#include "snipestall/policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace snipestall::policy {

/// Fingerprints of requests that were in flight on a backend server when it died.
class CrashTable
{
public:
    /// Number of deaths at which a fingerprint is quarantined. The first death may be chance and
    /// also makes suspects of the requests that ran beside it; a second one, with the request alone
    /// on a server, has no other cause.
    static constexpr std::uint32_t QuarantineThreshold = 2;

    /// Counts one more death and returns the number of deaths so far.
    std::uint32_t recordCrash(Time now, std::uint64_t fingerprint);
    /// Resets the count because the request ran alone and the server survived.
    void clear(std::uint64_t fingerprint);
    /// Quarantines a fingerprint that a peer reported.
    void quarantine(Time now, std::uint64_t fingerprint);

    [[nodiscard]] std::uint32_t crashes(Time now, std::uint64_t fingerprint) const;

    /// The newest quarantined fingerprints, at most `maxResults`, to be sent to peers.
    [[nodiscard]] std::vector<std::uint64_t> quarantined(Time now, std::size_t maxResults) const;

private:
    struct Entry
    {
        std::uint32_t crashes = 0;
        Time expires;
    };

    Entry &findOrAdd(Time now, std::uint64_t fingerprint);

    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::deque<std::uint64_t> m_order;
};

} // namespace snipestall::policy
