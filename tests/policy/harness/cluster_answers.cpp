#include "policy/harness/cluster.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::policy::harness {

namespace {

constexpr bool didNotRun(AttemptResult result)
{
    return result == AttemptResult::NotSent || result == AttemptResult::Declined;
}

} // namespace

void Cluster::onPrefilled(std::uint64_t id, std::size_t cachedBlocks)
{
    const auto &work = m_works.at(id);
    auto &call = m_ledger.calls[work.call];
    std::uint64_t recomputed = work.prefillTokens - call.promptTokens;
    for (std::size_t i = cachedBlocks; i < call.prefix.size(); ++i) {
        recomputed += m_computedBlocks.insert(call.prefix[i]).second ? 0 : BlockTokens;
    }
    (call.prefilled ? call.lostTokens : call.missedTokens) += recomputed;
    call.prefilled = true;
}

void Cluster::onTokens(std::uint64_t id, std::uint32_t count)
{
    const auto &work = m_works.at(id);
    const auto hop =
        delay(m_nodes[work.node]->dataCentre(), m_fleet.find(work.server)->group.dataCentre);
    m_loop.after(hop, [this, node = work.node, attempt = work.attempt, count] {
        receiveTokens(node, attempt, count);
    });
}

void Cluster::onEnded(std::uint64_t id, AttemptResult result)
{
    const auto found = m_works.find(id);
    if (found == m_works.end()) {
        return;
    }
    const auto work = found->second;
    m_works.erase(found);
    const auto hop =
        delay(m_nodes[work.node]->dataCentre(), m_fleet.find(work.server)->group.dataCentre);
    m_loop.after(hop, [this, work, result] {
        if (m_nodes[work.node]->attempts.contains(work.attempt)) {
            finishAttempt(work, result);
        }
        receiveEnd(work.node, work.attempt, result, {});
    });
}

void Cluster::finishAttempt(const RunningWork &work, AttemptResult result)
{
    auto &call = m_ledger.calls[work.call];
    // The loss of a server under notice is not counted as a crash against its requests.
    const bool isAnnounced = m_fleet.find(work.server)->leavingSince.has_value();
    if (result == AttemptResult::ServerDied && !isAnnounced) {
        ++call.crashes;
        ++m_crashesOf[call.fingerprint];
    } else if (result == AttemptResult::Completed) {
        m_crashesOf.erase(call.fingerprint);
    }
    call.mayHaveRun = call.mayHaveRun && !didNotRun(result);
}

void Cluster::receiveTokens(std::size_t index, AttemptHandle attempt, std::uint32_t count)
{
    auto &node = *m_nodes[index];
    const auto found = node.attempts.find(attempt);
    if (found == node.attempts.end()) {
        return;
    }
    const auto handle = found->second.request;
    const auto request = node.requests.find(handle);
    if (request == node.requests.end()) {
        return;
    }
    node.post(TokensProduced { handle, attempt, count });
    if (const auto origin = request->second.origin) {
        m_loop.after(
            delay(node.dataCentre(), m_nodes[origin->node]->dataCentre()),
            [this, origin, count] { receiveTokens(origin->node, origin->attempt, count); });
        return;
    }
    auto &call = m_ledger.calls[request->second.call];
    call.produced = std::min(call.produced + count, call.outputTokens);
    if (!call.firstToken) {
        call.firstToken = m_loop.now();
    }
}

void Cluster::receiveEnd(std::size_t index, AttemptHandle attempt, AttemptResult result,
                         Duration retryAfter)
{
    auto &node = *m_nodes[index];
    const auto found = node.attempts.find(attempt);
    if (found == node.attempts.end()) {
        return;
    }
    const auto handle = found->second.request;
    node.attempts.erase(found);
    node.post(AttemptEnded { handle, attempt, result, retryAfter });
    const auto request = node.requests.find(handle);
    if (request == node.requests.end()) {
        return;
    }
    request->second.lastResult = result;
    if (didNotRun(result)) {
        request->second.sent = false;
    }
    if (result != AttemptResult::Completed && result != AttemptResult::Rejected) {
        return;
    }
    const auto ended = request->second;
    node.requests.erase(request);
    if (result == AttemptResult::Completed && !ended.origin) {
        m_demand.countAnswered(m_ledger.calls[ended.call], node.dataCentre());
    }
    if (ended.origin) {
        relayEnd(*ended.origin, node, result, {});
        return;
    }
    finish(ended.call, result == AttemptResult::Completed ? Outcome::Answered : Outcome::Failed);
}

void Cluster::relayEnd(const Origin &origin, const EntryNode &from, AttemptResult result,
                       Duration retryAfter)
{
    m_loop.after(delay(from.dataCentre(), m_nodes[origin.node]->dataCentre()),
                 [this, origin, result, retryAfter] {
                     receiveEnd(origin.node, origin.attempt, result, retryAfter);
                 });
}

void Cluster::finish(CallIndex index, Outcome outcome)
{
    auto &call = m_ledger.calls[index];
    if (call.outcome == Outcome::Cancelled) {
        return;
    }
    if (call.outcome != Outcome::Open) {
        ++m_ledger.answersToClosedCalls;
        return;
    }
    call.outcome = outcome;
    call.finished = m_loop.now();
    if (m_callEnded) {
        m_callEnded(index);
    }
}

} // namespace snipestall::policy::harness
