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

/// Which peers this instance calls with its report, and when; `Overlay` says who talks to whom.
///
/// One call carries both sides' reports, so whichever of two instances comes first saves the other
/// its call.
///
/// Load: some of hundreds of instances have just been killed, or answer late. Harm: a member that
/// goes back to a hub before it has heard it is without any hub during each try. So it stays with
/// the hub that answers until the other one has.
class PeerCalls
{
public:
    /// About the time in which a backend server reads a long prompt: fresher figures change no
    /// choice.
    static constexpr std::chrono::milliseconds Interval { 200 };

    PeerCalls(std::string self, OverlayPeer own);

    /// A peer is listed, or has called.
    void known(const std::string &peer, const OverlayPeer &place);
    /// A peer has another address: what is known of its failures does not hold any more.
    void moved(const std::string &peer);
    /// A peer's report has come, with a call of its own or as the answer to one of this instance.
    void heard(const std::string &peer, SteadyTime now);
    void answered(const std::string &peer);
    /// Number of the stay at a hub to which a report belongs that is about to be sent to it: each
    /// change of the hub begins another stay.
    std::uint64_t stayAt(const std::string &hub);
    void failed(const std::string &peer, SteadyTime now);
    /// A call has ended without an answer and says nothing of the peer.
    void abandoned(const std::string &peer) { m_peers[peer].calling = false; }
    /// Peers to be called now; each counts as being called until it has answered or failed.
    /// `hasMembers`: others have taken this instance for a hub, so it needs what the hubs know.
    std::vector<std::string> due(SteadyTime now, bool hasMembers);
    [[nodiscard]] const Overlay &overlay() const { return m_overlay; }

private:
    /// A peer that did not answer is left out of the overlay until it is heard again. It is called
    /// again after this long, while another takes its place; twice as long with each failure, up to
    /// a part of the time within which an instance is to be in touch again.
    static constexpr std::chrono::milliseconds FirstRetry { 500 };
    static constexpr std::chrono::milliseconds LongestRetry { 2000 };

    struct Peer
    {
        OverlayPeer place;
        SteadyTime heard;
        SteadyTime calledAt;
        /// Set while the peer has failed and not been heard since.
        std::optional<SteadyTime> retryAt;
        std::chrono::milliseconds retryPause = FirstRetry;
        bool calling = false;
    };

    void updateOverlay();
    /// Calls that are due to peers which have failed: those this instance would call otherwise.
    void addRetries(SteadyTime now, std::vector<std::string> &names);
    void addIfDue(const std::string &name, SteadyTime now, std::vector<std::string> &names);

    std::string m_self;
    OverlayPeer m_own;
    std::map<std::string, Peer> m_peers;
    /// Whether the peers that can be reached are others than at the last look.
    bool m_changed = true;
    Overlay m_overlay;
    /// The hub that answered last, and the numbers of the stays there and at one that is tried.
    std::string m_hub;
    std::uint64_t m_stay = 0;
    std::string m_triedHub;
    std::uint64_t m_triedStay = 0;
};

} // namespace snipestall::serving
