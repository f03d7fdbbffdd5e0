#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>

namespace snipestall::serving {

/// When an entry that disappears from the list of backend servers may merely have lapsed.
///
/// Failure: the list's store is away for so long that entries of servers that live lapse; their
/// removals arrive right after its return, before the servers have listed themselves again. It
/// shows as an instance without servers, or, as an id that left never comes back, with too few for
/// good. Whoever hears of the list again after a silence long enough for that, from the store or
/// from a peer, keeps disappearing entries for a while. The while is shorter than the time in which
/// a server that really leaves must get nothing new any more.
class LapseWindow
{
public:
    /// `heartbeat`: how often servers renew their entries; `drain`: the bound for leaving servers.
    LapseWindow(std::chrono::milliseconds heartbeat, std::chrono::milliseconds drain);

    /// The list was heard of again; until now it was known to be complete as of `age` ago.
    void heard(std::chrono::milliseconds age, SteadyTime now);
    [[nodiscard]] bool open(SteadyTime now) const { return now < m_until; }
    [[nodiscard]] SteadyTime until() const { return m_until; }
    /// How long an entry that may merely have lapsed is kept.
    [[nodiscard]] std::chrono::milliseconds length() const { return m_length; }

private:
    /// Servers that live have listed themselves again this long after the store's return.
    static constexpr std::chrono::milliseconds RelistTime { 2000 };
    /// Kept of the drain bound for the housekeeping's pace and what is on its way.
    static constexpr std::chrono::milliseconds DrainMargin { 600 };
    /// Entries lapse after three heartbeats; the silence seen here may be a little shorter.
    static constexpr int HeartbeatsOfSilence = 2;

    std::chrono::milliseconds m_silence;
    std::chrono::milliseconds m_length;
    SteadyTime m_until;
};

} // namespace snipestall::serving
