#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>

namespace snipestall::serving {

/// The rest that a backend server has asked this instance for, and how it gets requests again.
///
/// Load: a server that is full gets requests from many instances, each with some dozens in flight.
/// Harm: if all that is held back for it arrived at the end of its rest, it would be full again at
/// once. So it first gets single requests, until one that was sent after the rest is accepted.
class ServerRest
{
public:
    /// The server asks for a rest up to `until`. An earlier end than the known one changes nothing.
    void extend(SteadyTime until, SteadyTime now);
    [[nodiscard]] bool inForce(SteadyTime now) const { return now < m_until; }
    [[nodiscard]] SteadyTime until() const { return m_until; }

    /// Time from which on this instance may send a request.
    [[nodiscard]] SteadyTime opensAt() const { return m_onTrial ? m_nextTrial : m_until; }
    void requestSent(SteadyTime now);
    /// The server has accepted a request that was sent at `sentAt`.
    void requestAccepted(SteadyTime sentAt);
    /// Returns whether a run that was copied to the server may continue there now, and counts it.
    /// The copy takes room until it is used, so a few may continue during a rest.
    [[nodiscard]] bool admitsMovedRun(SteadyTime now);

private:
    /// Time after which another request is sent to a server that has accepted none since its rest.
    static constexpr std::chrono::milliseconds TrialInterval { 500 };
    static constexpr int MaxMovedRuns = 1;

    SteadyTime m_until;
    /// Whether the server has not accepted a request since its rest.
    bool m_onTrial = false;
    SteadyTime m_nextTrial;
    int m_movedRuns = 0;
};

} // namespace snipestall::serving
