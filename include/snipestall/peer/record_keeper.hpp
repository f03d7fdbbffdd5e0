#pragma once

#include "snipestall/peer/messages.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipestall::peer {

class Membership;
class PeerNetwork;
class RecordSource;

/// Copies of accepted requests, so that one outlives the instance that accepted it.
///
/// As home: hold() returns once the buddy (rendezvous on the request id over the live members of
/// the data centre) has everything the request has so far; output is shown to the caller only
/// then, so that a caller who comes back to the buddy never finds it behind what it has read.
/// Copies to one buddy travel in batches: while one is under way the next gathers.
///
/// As buddy: keeps the copies, and gives them to `onOrphan` when their home is silent for its term
/// or hands them over.
class RecordKeeper
{
public:
    /// `released`: its home gave it up by a hand-over, so nobody else runs it.
    using OrphanHandler = std::function<void(const v1::RequestRecord &record, bool released)>;

    RecordKeeper(boost::asio::io_context &io, Membership &members, PeerNetwork &network,
                 std::uint64_t incarnation, OrphanHandler onOrphan);
    ~RecordKeeper();

    /// False when no instance could be found to hold it: it is single-copy from then on.
    wire::Task<bool> hold(std::shared_ptr<RecordSource> source);
    /// The caller has its whole answer, or the request ended: the copy may go after a while.
    void forget(const std::string &requestId);
    /// Gives every record to another instance; returns the ids that were taken.
    wire::Task<std::vector<std::string>>
    handOver(std::vector<std::shared_ptr<RecordSource>> sources);

    v1::HoldReply onHold(const v1::HoldRequest &request);
    v1::HandoverReply onHandover(const v1::HandoverRequest &request);

    /// A copy held for another instance, or null.
    [[nodiscard]] const v1::RequestRecord *copy(const std::string &requestId) const;
    [[nodiscard]] std::size_t copies() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace snipestall::peer
