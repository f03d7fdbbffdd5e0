#pragma once

#include "snipestall/base/recent_hashes.hpp"
#include "snipestall/entry/request.hpp"
#include "snipestall/peer/messages.hpp"
#include "snipestall/wire/task.hpp"

#include "trial_book.hpp"

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

/// Asks, for the home of a request, whether its first try may begin, and answers peers that ask:
/// for each prompt the one instance of the data centre that rendezvous hashing names.
class TrialGate
{
public:
    TrialGate(boost::asio::io_context &io, peer::Membership &members, peer::PeerNetwork &network,
              CrashLedger &crashes);

    /// Returns once the request may begin, as far as is known: at once for all but a prompt that
    /// no engine is known to have answered. Also returns when a copy has taken a server down, and
    /// when a copy is undecided for long.
    wire::Task<void> begin(RequestPtr request);
    peer::v1::TrialReply onTrial(const peer::v1::TrialRequest &request);
    void peerLost(const std::string &name) { m_book.homeLost(name); }

private:
    /// True if it has to wait; nothing if nobody could be asked.
    wire::Task<std::optional<bool>> ask(peer::v1::TrialRequest question);
    wire::Task<void> awaitFirstToken(RequestPtr request, std::uint64_t fingerprint);
    void noteCrashes(const peer::v1::TrialReply &reply);

    boost::asio::io_context &m_io;
    peer::Membership &m_members;
    peer::PeerNetwork &m_network;
    CrashLedger &m_crashes;
    TrialBook m_book;
    /// Prompts that an engine has answered.
    RecentHashes m_answered;
    /// Requests of this instance whose first token is awaited.
    std::set<std::string> m_begun;
};

} // namespace snipestall::entry
