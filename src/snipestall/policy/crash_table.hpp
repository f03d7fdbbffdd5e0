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
    /// Deaths after which a fingerprint is quarantined: the first may be chance and takes its
    /// neighbours along; a second one, alone on a server, is not.
    static constexpr std::uint32_t QuarantinedAt = 2;

    /// Counts one more death; returns how many there are now.
    std::uint32_t count(Time now, std::uint64_t fingerprint);
    /// It ran alone and the server lived.
    void clear(std::uint64_t fingerprint);
    /// A peer's finding.
    void quarantine(Time now, std::uint64_t fingerprint);

    [[nodiscard]] std::uint32_t crashes(Time now, std::uint64_t fingerprint) const;

    /// The newest quarantined fingerprints, for peers.
    [[nodiscard]] std::vector<std::uint64_t> quarantined(Time now, std::size_t most) const;

private:
    struct Entry
    {
        std::uint32_t crashes = 0;
        Time expires;
    };

    Entry &entry(Time now, std::uint64_t fingerprint);

    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::deque<std::uint64_t> m_order;
};

} // namespace snipestall::policy
