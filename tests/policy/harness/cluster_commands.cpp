#include "policy/harness/cluster.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace snipestall::policy::harness {

void Cluster::execute(EntryNode &node, const Command &command)
{
    std::visit([this, &node](const auto &known) { carryOut(node, known); }, command);
}

void Cluster::carryOut(EntryNode &node, const Dispatch &command)
{
    send(node, command, false);
}

void Cluster::send(EntryNode &node, const Dispatch &command, bool kvImported)
{
    const auto request = node.requests.find(command.request);
    if (request == node.requests.end()) {
        ++m_ledger.commandsForUnknown;
        return;
    }
    auto &call = m_ledger.calls[request->second.call];
    m_ledger.unsafeRetries += !call.idempotent && call.mayHaveRun ? 1 : 0;
    call.mayHaveRun = true;
    ++call.attempts;
    request->second.sent = true;

    const auto work = ++m_lastWork;
    node.attempts[command.attempt] = { .request = command.request,
                                       .call = request->second.call,
                                       .work = work };
    m_works[work] = { node.index(), command.attempt, request->second.call, command.server, 0 };
    const auto *server = m_fleet.find(command.server);
    const auto hop = delay(node.dataCentre(), server->group.dataCentre);
    m_ledger.dispatchesToLeaving += server->leavingSince ? 1 : 0;
    m_loop.after(hop, [this, work, kvImported] { arriveAtServer(work, kvImported); });
}

void Cluster::arriveAtServer(std::uint64_t id, bool kvImported)
{
    const auto found = m_works.find(id);
    if (found == m_works.end()) {
        return;
    }
    const auto &call = m_ledger.calls[found->second.call];
    auto *server = m_fleet.find(found->second.server);
    if (!server->isAlive()) {
        onEnded(id, AttemptResult::NotSent);
        return;
    }
    Work work { .id = id,
                .prefillTokens = call.promptTokens + call.produced,
                .outputTokens = call.outputTokens - call.produced };
    work.prefix = call.prefix;
    work.kvImported = kvImported;
    work.crashesServer = call.crashesServer;
    found->second.prefillTokens = work.prefillTokens;
    if (!server->fake->start(std::move(work))) {
        ++m_ledger.dispatchesToFull;
        onEnded(id, AttemptResult::Declined);
    }
}

void Cluster::carryOut(EntryNode &node, const ForwardTo &command)
{
    const auto request = node.requests.find(command.request);
    if (request == node.requests.end()) {
        ++m_ledger.commandsForUnknown;
        return;
    }
    const auto index = request->second.call;
    const auto peer = static_cast<std::size_t>(command.peer.value - 1);
    auto &target = *m_nodes[peer];
    request->second.sent = true;
    const auto handle =
        target.addRequest({ .call = index, .origin = Origin { node.index(), command.attempt } });
    node.attempts[command.attempt] = {
        .request = command.request, .call = index, .peer = peer, .peerRequest = handle
    };
    auto arrived = arrival(m_ledger.calls[index], handle);
    arrived.forwarded = true;
    m_loop.after(delay(node.dataCentre(), target.dataCentre()),
                 [&target, arrived] { target.post(arrived); });
}

void Cluster::carryOut(EntryNode &node, const Refuse &command)
{
    const auto found = node.requests.find(command.request);
    if (found == node.requests.end()) {
        ++m_ledger.commandsForUnknown;
        return;
    }
    const auto request = found->second;
    node.requests.erase(found);
    if (request.origin) {
        const auto result = request.sent ? request.lastResult : AttemptResult::Declined;
        relayEnd(*request.origin, node, result, command.retryAfter);
        return;
    }
    auto &call = m_ledger.calls[request.call];
    call.reason = command.reason;
    call.retryAfter = command.retryAfter;
    if (call.outcome == Outcome::Cancelled) {
        return;
    }
    if (call.mayHaveRun) {
        finish(request.call, Outcome::Failed);
        return;
    }
    const bool expired = command.reason == RefusalReason::Expired;
    m_ledger.refusalsWithoutTime += !expired && command.retryAfter <= Duration::zero() ? 1 : 0;
    finish(request.call, expired ? Outcome::Expired : Outcome::Refused);
}

void Cluster::carryOut(EntryNode &node, const CancelAttempt &command)
{
    dropAttempt(node, command.attempt);
}

void Cluster::dropAttempt(EntryNode &node, AttemptHandle attempt)
{
    const auto found = node.attempts.find(attempt);
    if (found == node.attempts.end()) {
        return;
    }
    const auto dropped = found->second;
    node.attempts.erase(found);
    if (dropped.peer) {
        auto &peer = *m_nodes[*dropped.peer];
        m_loop.after(delay(node.dataCentre(), peer.dataCentre()),
                     [&peer, dropped] { peer.post(RequestCancelled { dropped.peerRequest }); });
        return;
    }
    const auto work = m_works.find(*dropped.work);
    if (work != m_works.end()) {
        m_fleet.find(work->second.server)->fake->cancel(work->first);
        m_works.erase(work);
    }
}

void Cluster::carryOut(EntryNode &node, const MoveStream &command)
{
    const auto old = node.attempts.find(command.from);
    const Dispatch dispatch { command.request, command.attempt, command.target };
    if (old == node.attempts.end() || !old->second.work || !m_works.contains(*old->second.work)) {
        ++m_ledger.commandsForUnknown;
        return;
    }
    if (command.method == MoveMethod::Resume) {
        dropAttempt(node, command.from);
        send(node, dispatch, false);
        return;
    }
    const auto call = old->second.call;
    const auto work = m_works.at(*old->second.work);
    const auto &row = m_ledger.calls[call];
    auto *source = m_fleet.find(work.server);
    dropAttempt(node, command.from);
    node.attempts[command.attempt] = { .request = command.request, .call = call, .work = 0 };
    const auto tokens = row.promptTokens + row.produced;
    const Time done = std::max(source->fake->reserveTransfer(tokens),
                               m_fleet.find(command.target)->fake->reserveTransfer(tokens));
    m_loop.at(done, [this, &node, dispatch, source] {
        if (!node.attempts.contains(dispatch.attempt)) {
            return;
        }
        // A source that was reclaimed before its export ended leaves nothing to import.
        if (!source->isAlive()) {
            receiveEnd(node.index(), dispatch.attempt, AttemptResult::ConnectionLost, {});
            return;
        }
        send(node, dispatch, true);
    });
}

} // namespace snipestall::policy::harness
