#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>

namespace snipestall::serving {

/// The time during which an entry that disappears from the list of backend servers may merely have
/// expired.
///
/// Failure: the store of the list is unavailable for so long that entries of running servers
/// expire; their removals arrive right after the store has returned, before the servers have listed
/// themselves again. It shows as an instance without servers, or, because an id that has left is
/// not accepted again, permanently with too few. An instance that receives the list again after a
/// gap that is long enough for this, from the store or from a peer, therefore keeps disappearing
/// entries for a limited time, which is shorter than the time after which a server that really
/// leaves must not get new requests.
class ExpiryWindow
{
public:
    /// `heartbeat`: interval at which servers renew their entries; `drain`: how long a leaving
    /// server still serves.
    ExpiryWindow(std::chrono::milliseconds heartbeat, std::chrono::milliseconds drain);

    /// The list was received; before that, it was known to be complete as of `age` ago.
    void listReceived(std::chrono::milliseconds age, SteadyTime now);
    /// Whether a disappearing entry may merely have expired.
    [[nodiscard]] bool isOpen(SteadyTime now) const { return now < m_until; }
    [[nodiscard]] SteadyTime until() const { return m_until; }
    /// How long an entry that may merely have expired is kept.
    [[nodiscard]] std::chrono::milliseconds length() const { return m_length; }

private:
    /// Running servers have listed themselves again this long after the store has returned.
    static constexpr std::chrono::milliseconds RelistTime { 2000 };
    /// Part of the drain time that is reserved for the interval of the housekeeping and for
    /// messages under way.
    static constexpr std::chrono::milliseconds DrainMargin { 600 };
    /// Entries expire after three heartbeats; the gap observed here may be a little shorter.
    static constexpr int MinGapHeartbeats = 2;

    std::chrono::milliseconds m_minGap;
    std::chrono::milliseconds m_length;
    SteadyTime m_until;
};

} // namespace snipestall::serving
