#pragma once

#include "snipestall/base/recent_hashes.hpp"
#include "snipestall/entry/request.hpp"
#include "snipestall/peer/messages.hpp"
#include "snipestall/wire/task.hpp"

#include "trial_registry.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace snipestall::peer {
class Membership;
class PeerNetwork;
} // namespace snipestall::peer

namespace snipestall::entry {

class CrashLedger;

/// Asks, on behalf of the home of a request, whether its first attempt may start, and answers the
/// same question for peers. For each prompt, rendezvous hashing selects the one instance of the
/// data centre that decides.
class TrialCoordinator
{
public:
    TrialCoordinator(boost::asio::io_context &io, peer::Membership &members,
                     peer::PeerNetwork &network, CrashLedger &crashes);

    /// Returns once no other copy of the request is known to be in its first attempt. Returns
    /// immediately unless this is a prompt that no engine is known to have answered. Also returns
    /// when a copy has crashed a server, and when a copy has not been decided for too long.
    wire::Task<void> awaitTurn(RequestPtr request);
    /// Answers the question of a peer, or records the end of a trial that it reports.
    peer::v1::TrialReply onTrial(const peer::v1::TrialRequest &request);
    void peerLost(const std::string &name) { m_registry.removeHome(name); }

private:
    /// Returns whether the request has to wait; empty if no instance could be asked.
    wire::Task<std::optional<bool>> ask(peer::v1::TrialRequest question);
    /// Waits for the first token or the end of the request and then reports the end of the trial.
    wire::Task<void> awaitFirstToken(RequestPtr request, std::uint64_t fingerprint);
    void recordCrashes(const peer::v1::TrialReply &reply);

    boost::asio::io_context &m_io;
    peer::Membership &m_members;
    peer::PeerNetwork &m_network;
    CrashLedger &m_crashes;
    TrialRegistry m_registry;
    /// Fingerprints of prompts that an engine has answered.
    RecentHashes m_answered;
    /// Ids of the requests of this instance whose first token is awaited.
    std::set<std::string> m_awaitingFirstToken;
};

} // namespace snipestall::entry
