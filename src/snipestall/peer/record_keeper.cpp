#include "snipestall/peer/record_keeper.hpp"

#include "snipestall/base/rendezvous.hpp"
#include "snipestall/peer/membership.hpp"
#include "snipestall/peer/peer_client.hpp"
#include "snipestall/peer/peer_network.hpp"
#include "snipestall/peer/record_source.hpp"
#include "snipestall/wire/signal.hpp"
#include "snipestall/wire/spawn.hpp"

#include "peer.pb.h"

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <set>
#include <utility>

namespace snipestall::peer {

using wire::Task;

namespace {

/// Longer than the jitter of a heartbeat and short compared with a first-token target. A buddy that
/// is slower is replaced by another one.
constexpr std::chrono::milliseconds HoldTimeout { 400 };
constexpr std::chrono::milliseconds HandoverTimeout { 3000 };
constexpr std::size_t MaxRecordsPerCall = 256;
constexpr std::chrono::milliseconds ForgetDelay { 500 };

} // namespace

struct RecordKeeper::State
{
    /// What the buddy of one request of this instance holds of it.
    struct Replica
    {
        std::shared_ptr<RecordSource> source;
        std::string buddy;
        std::uint64_t buddyIncarnation = 0;
        bool whole = false;
        std::uint64_t progress = 0;
    };

    /// Requests to send to one buddy, and those that it may forget.
    struct BuddyQueue
    {
        std::set<std::string> pending;
        std::vector<std::string> forget;
        bool sending = false;
    };

    /// A copy that this instance holds for another home.
    struct Copy
    {
        v1::RequestRecord record;
        std::string home;
        std::uint64_t homeIncarnation = 0;
    };

    State(boost::asio::io_context &context, Membership &membership, PeerNetwork &peers,
          std::uint64_t ownIncarnation, OrphanHandler handler)
        : io(context)
        , members(membership)
        , network(peers)
        , incarnation(ownIncarnation)
        , onOrphan(std::move(handler))
        , changed(context.get_executor())
    { }

    std::string chooseBuddy(const std::string &id, const std::set<std::string> &failed) const;
    void enqueue(const std::string &buddy, const std::string &id);
    Task<void> send(std::shared_ptr<State> self, std::string buddy);
    Task<void> flushForgets(std::shared_ptr<State> self, std::string buddy);
    v1::HoldRequest makeBatch(BuddyQueue &buddy, std::vector<std::string> &ids);
    void takeOver(const std::string &home, std::uint64_t homeIncarnation);

    boost::asio::io_context &io;
    Membership &members;
    PeerNetwork &network;
    std::uint64_t incarnation;
    OrphanHandler onOrphan;
    wire::Signal changed;
    std::map<std::string, Replica> replicas;
    std::map<std::string, BuddyQueue> buddyQueues;
    std::map<std::string, Copy> copies;
    /// Buddies that failed to take a copy, by request.
    std::map<std::string, std::set<std::string>> failedBuddies;
};

std::string RecordKeeper::State::chooseBuddy(const std::string &id,
                                             const std::set<std::string> &failed) const
{
    std::vector<std::string> candidates;
    for (std::string &name : members.livePeers()) {
        if (!failed.contains(name))
            candidates.push_back(std::move(name));
    }
    return rendezvousPick(id, candidates).value_or("");
}

void RecordKeeper::State::enqueue(const std::string &buddy, const std::string &id)
{
    BuddyQueue &entry = buddyQueues[buddy];
    entry.pending.insert(id);
}

v1::HoldRequest RecordKeeper::State::makeBatch(BuddyQueue &buddy, std::vector<std::string> &ids)
{
    v1::HoldRequest request;
    request.set_holder_of(members.self());
    request.set_incarnation(incarnation);
    while (!buddy.pending.empty() && ids.size() < MaxRecordsPerCall) {
        const std::string id = *buddy.pending.begin();
        buddy.pending.erase(buddy.pending.begin());
        const auto it = replicas.find(id);
        if (it == replicas.end())
            continue;
        const Replica &entry = it->second;
        *request.add_records() = entry.source->record(!entry.whole, entry.progress);
        ids.push_back(id);
    }
    for (std::string &id : buddy.forget)
        request.add_forget(std::move(id));
    buddy.forget.clear();
    return request;
}

Task<void> RecordKeeper::State::send([[maybe_unused]] std::shared_ptr<State> self, std::string name)
{
    // co_spawn starts this function inside hold(), before hold() waits. If nothing below suspended,
    // for example because the buddy has no address, the notification would come before the wait and
    // be lost, and the request's answer would never be sent to its caller.
    co_await boost::asio::post(io, boost::asio::use_awaitable);
    BuddyQueue &buddy = buddyQueues[name];
    if (buddy.sending)
        co_return;
    buddy.sending = true;
    while (!buddy.pending.empty() || !buddy.forget.empty()) {
        std::vector<std::string> ids;
        v1::HoldRequest request = makeBatch(buddy, ids);
        std::map<std::string, std::uint64_t> sentProgress;
        for (const std::string &id : ids)
            sentProgress[id] = replicas.at(id).source->progress();
        PeerClient *client = network.client(name);
        Result<v1::HoldReply> reply =
            fail(ErrorKind::Unavailable, "the address of the buddy is unknown");
        if (client != nullptr)
            reply = co_await client->hold(std::move(request), HoldTimeout);
        const bool accepted = reply && reply->accepted();
        for (const std::string &id : ids) {
            const auto it = replicas.find(id);
            if (it == replicas.end() || it->second.buddy != name)
                continue;
            if (accepted) {
                it->second.whole = true;
                it->second.progress = sentProgress[id];
            } else {
                failedBuddies[id].insert(name);
                it->second.buddy.clear();
            }
        }
        changed.notifyAll();
    }
    buddy.sending = false;
}

// Removals are not urgent. They are collected, so that an ended request needs no call of its own.
Task<void> RecordKeeper::State::flushForgets(std::shared_ptr<State> self, std::string buddy)
{
    co_await wire::sleepFor(ForgetDelay);
    co_await send(self, std::move(buddy));
}

// The home has failed, so this instance takes its requests over. Their copies are removed from the
// map first, because onOrphan gives a request a new home here and a buddy of its own.
void RecordKeeper::State::takeOver(const std::string &home, std::uint64_t homeIncarnation)
{
    std::vector<v1::RequestRecord> orphans;
    for (auto it = copies.begin(); it != copies.end();) {
        const bool isOrphan =
            it->second.home == home && it->second.homeIncarnation <= homeIncarnation;
        if (isOrphan)
            orphans.push_back(std::move(it->second.record));
        it = isOrphan ? copies.erase(it) : std::next(it);
    }
    for (const v1::RequestRecord &record : orphans)
        onOrphan(record, false);
}

RecordKeeper::RecordKeeper(boost::asio::io_context &io, Membership &members, PeerNetwork &network,
                           std::uint64_t incarnation, OrphanHandler onOrphan)
    : m_state(std::make_shared<State>(io, members, network, incarnation, std::move(onOrphan)))
{
    const std::weak_ptr<State> weak = m_state;
    members.subscribe([weak](const Member &member, MemberState) {
        const auto state = weak.lock();
        if (!state)
            return;
        if (member.state == MemberState::Suspected)
            state->takeOver(member.name, member.incarnation);
        // A new incarnation has no state, so the buddies must take over what the former one
        // accepted.
        if (member.state == MemberState::Live && member.incarnation > 0)
            state->takeOver(member.name, member.incarnation - 1);
        state->changed.notifyAll();
    });
}

RecordKeeper::~RecordKeeper() = default;

Task<bool> RecordKeeper::hold(std::shared_ptr<RecordSource> source)
{
    const auto state = m_state;
    const std::string id = source->requestId();
    const std::uint64_t requiredProgress = source->progress();
    State::Replica &first = state->replicas[id];
    first.source = source;
    while (true) {
        const auto it = state->replicas.find(id);
        if (it == state->replicas.end())
            co_return false;
        State::Replica &entry = it->second;
        const Member *buddy = state->members.find(entry.buddy);
        const bool usable = buddy != nullptr && buddy->state == MemberState::Live
            && buddy->incarnation == entry.buddyIncarnation;
        if (usable && entry.whole && entry.progress >= requiredProgress)
            co_return true;
        if (!usable) {
            const auto failed = state->failedBuddies.find(id);
            const std::string chosen = state->chooseBuddy(
                id,
                failed == state->failedBuddies.end() ? std::set<std::string> {} : failed->second);
            entry.whole = false;
            entry.progress = 0;
            entry.buddy = chosen;
            if (chosen.empty())
                co_return false;
            entry.buddyIncarnation = state->members.find(chosen)->incarnation;
        }
        const std::string name = entry.buddy;
        state->enqueue(name, id);
        if (!state->buddyQueues[name].sending)
            wire::spawn(state->io, state->send(state, name), "copies");
        co_await state->changed.wait();
    }
}

void RecordKeeper::forget(const std::string &requestId)
{
    const auto it = m_state->replicas.find(requestId);
    if (it == m_state->replicas.end())
        return;
    const std::string buddy = it->second.buddy;
    m_state->replicas.erase(it);
    m_state->failedBuddies.erase(requestId);
    if (buddy.empty())
        return;
    m_state->buddyQueues[buddy].forget.push_back(requestId);
    if (m_state->buddyQueues[buddy].forget.size() == 1)
        wire::spawn(m_state->io, m_state->flushForgets(m_state, buddy), "forget");
}

Task<std::vector<std::string>>
RecordKeeper::handOver(std::vector<std::shared_ptr<RecordSource>> sources)
{
    const auto state = m_state;
    std::map<std::string, std::vector<std::shared_ptr<RecordSource>>> byTarget;
    for (const auto &source : sources) {
        const std::string target = state->chooseBuddy(source->requestId(), {});
        if (!target.empty())
            byTarget[target].push_back(source);
    }
    std::vector<std::string> taken;
    for (const auto &[target, group] : byTarget) {
        PeerClient *client = state->network.client(target);
        if (client == nullptr)
            continue;
        v1::HandoverRequest request;
        request.set_from(state->members.self());
        request.set_incarnation(state->incarnation);
        for (const auto &source : group)
            *request.add_records() = source->record(true, 0);
        auto reply = co_await client->handover(std::move(request), HandoverTimeout);
        if (!reply)
            continue;
        taken.insert(taken.end(), reply->taken().begin(), reply->taken().end());
    }
    co_return taken;
}

v1::HoldReply RecordKeeper::onHold(const v1::HoldRequest &request)
{
    v1::HoldReply reply;
    reply.set_leaving(m_state->members.selfLeaving());
    for (const std::string &id : request.forget())
        m_state->copies.erase(id);
    // A buddy that is leaving itself would hold the copy for a few seconds at most.
    if (m_state->members.selfLeaving())
        return reply;
    for (const v1::RequestRecord &update : request.records()) {
        State::Copy &copy = m_state->copies[update.request()];
        if (update.whole()) {
            copy.record = update;
        } else if (copy.record.whole()) {
            const auto copiedPieces =
                copy.record.output_offset() + static_cast<std::uint64_t>(copy.record.output_size());
            // A repeated update overlaps. A gap means that an update was lost; the refusal makes
            // the home send the whole record to another buddy.
            if (update.output_offset() > copiedPieces)
                return reply;
            const int skip = static_cast<int>(copiedPieces - update.output_offset());
            for (int i = skip; i < update.output_size(); ++i)
                copy.record.add_output(update.output(i));
            if (update.maybe_sent())
                copy.record.set_maybe_sent(true);
            if (update.finished()) {
                copy.record.set_finished(true);
                copy.record.set_status(update.status());
                copy.record.set_outcome(update.outcome());
                copy.record.set_reason(update.reason());
                copy.record.set_code(update.code());
                copy.record.set_final_body(update.final_body());
                copy.record.set_final_content_type(update.final_content_type());
            }
        } else {
            m_state->copies.erase(update.request());
            return reply;
        }
        copy.home = request.holder_of();
        copy.homeIncarnation = request.incarnation();
    }
    reply.set_accepted(true);
    return reply;
}

v1::HandoverReply RecordKeeper::onHandover(const v1::HandoverRequest &request)
{
    v1::HandoverReply reply;
    reply.set_leaving(m_state->members.selfLeaving());
    if (m_state->members.selfLeaving())
        return reply;
    for (const v1::RequestRecord &record : request.records()) {
        m_state->copies.erase(record.request());
        m_state->onOrphan(record, true);
        reply.add_taken(record.request());
    }
    return reply;
}

const v1::RequestRecord *RecordKeeper::copy(const std::string &requestId) const
{
    const auto it = m_state->copies.find(requestId);
    return it == m_state->copies.end() ? nullptr : &it->second.record;
}

std::size_t RecordKeeper::copies() const
{
    return m_state->copies.size();
}

} // namespace snipestall::peer
