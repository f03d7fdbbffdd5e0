#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/overlay.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::serving {

/// Decides which peers this instance calls with its report, and when; `Overlay` decides which
/// instances exchange reports.
///
/// One call carries the reports of both sides, so whichever of two instances calls first saves the
/// other one its call.
///
/// Load: some of hundreds of instances have just been killed, or answer late. Harm: a member that
/// returns to a hub before that hub has answered is without any hub during each attempt. A member
/// therefore stays with the hub that answers until the other one has answered too.
class PeerCalls
{
public:
    /// About the time in which a backend server reads a long prompt; more recent load figures
    /// would not change a choice.
    static constexpr std::chrono::milliseconds Interval { 200 };

    PeerCalls(std::string self, OverlayPeer own);

    /// A peer is in the list of instances, or has called this one.
    void addPeer(const std::string &peer, const OverlayPeer &info);
    /// A peer has a new address, so its earlier failures no longer count.
    void addressChanged(const std::string &peer);
    /// A peer's report has arrived, with a call of the peer or as the answer to a call of this
    /// instance.
    void reportReceived(const std::string &peer, SteadyTime now);
    /// A peer has answered a call.
    void callAnswered(const std::string &peer);
    /// Number of the session with a hub, for a report that is about to be sent to that hub: each
    /// change of the hub begins a new session.
    std::uint64_t hubSession(const std::string &hub);
    /// A call to a peer has failed.
    void callFailed(const std::string &peer, SteadyTime now);
    /// A call ended without an answer for a reason that does not concern the peer.
    void callAbandoned(const std::string &peer) { m_peers[peer].calling = false; }
    /// Returns the peers to be called now; each counts as being called until it has answered or
    /// failed. `hasMembers`: others use this instance as a hub, so it needs the reports of the
    /// hubs.
    std::vector<std::string> dueCalls(SteadyTime now, bool hasMembers);
    [[nodiscard]] const Overlay &overlay() const { return m_overlay; }
    /// Takes into account the peers that were added or have failed since the last calls were due.
    void updateOverlay();

private:
    /// A peer that did not answer is left out of the overlay until it reports again. It is called
    /// again after this long, while another peer takes its place; the pause doubles with each
    /// failure, up to a part of the time within which an instance has to be in contact again.
    static constexpr std::chrono::milliseconds InitialRetryPause { 500 };
    static constexpr std::chrono::milliseconds MaxRetryPause { 2000 };

    struct Peer
    {
        OverlayPeer info;
        SteadyTime lastReportAt;
        SteadyTime calledAt;
        /// Set while the peer has failed and not reported since.
        std::optional<SteadyTime> retryAt;
        std::chrono::milliseconds retryPause = InitialRetryPause;
        bool calling = false;
    };

    /// Adds the peers that have failed, are to be called again and would be called if they had not
    /// failed.
    void addRetries(SteadyTime now, std::vector<std::string> &names);
    /// Adds a peer unless it is being called or has exchanged reports just before.
    void addIfDue(const std::string &name, SteadyTime now, std::vector<std::string> &names);

    std::string m_self;
    OverlayPeer m_own;
    std::map<std::string, Peer> m_peers;
    /// Whether the set of peers that can be reached has changed since the last update of the
    /// overlay.
    bool m_changed = true;
    Overlay m_overlay;
    /// The hub that answered last, the number of the session with it, and the same for a hub that
    /// is being tried.
    std::string m_hub;
    std::uint64_t m_session = 0;
    std::string m_triedHub;
    std::uint64_t m_triedSession = 0;
};

} // namespace snipestall::serving
