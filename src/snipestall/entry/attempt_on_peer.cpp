#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/entry/crash_ledger.hpp"
#include "snipestall/entry/dispatcher.hpp"
#include "snipestall/entry/policy_loop.hpp"
#include "snipestall/entry/request_store.hpp"
#include "snipestall/peer/forward_call.hpp"
#include "snipestall/peer/peer_client.hpp"
#include "snipestall/peer/peer_network.hpp"

#include "attempt.hpp"
#include "outcome_unknown.hpp"
#include "peer.pb.h"

#include <utility>

namespace snipestall::entry {

using peer::v1::ForwardEvent;
using std::chrono::milliseconds;

namespace {

/// Margin after the deadline of the request. The owner enforces the deadline itself; the margin
/// only ends a call to an owner that does not respond.
constexpr milliseconds DeadlineMargin { 500 };

bool isFinal(const std::string &code)
{
    return code == "platform-unavailable" || code == "key-reused";
}

FinalAnswer answerOf(const ForwardEvent &event)
{
    FinalAnswer answer;
    answer.status = static_cast<int>(event.status());
    answer.contentType = event.content_type();
    answer.reason = event.reason();
    answer.code = event.code();
    return answer;
}

} // namespace

wire::Task<void> Dispatcher::runOnPeer(RequestPtr request, policy::ForwardTo command)
{
    const policy::AttemptHandle handle = command.attempt;
    const std::string peer = m_peers[command.peer];
    Attempt attempt;
    attempt.request = request;
    attempt.handle = handle;
    attempt.id = attemptId(handle);
    ++m_counters.forwards;
    logEvent(events::AttemptStarted,
             { { "request", request->spec().id }, { "attempt", attempt.id }, { "on", peer } });
    request->cancelCallbacks()[handle.value] = [&attempt] { attempt.cancelled = true; };
    co_await accept(request);
    const bool trialPassed = co_await awaitTrial(request);
    peer::PeerClient *client = m_deps.network->client(peer);
    if (!trialPassed || attempt.cancelled || request->finished() || request->moved
        || client == nullptr)
        co_return ended(attempt, policy::AttemptResult::NotSent);
    // As in mayRun, no instance sends a non-idempotent request a second time.
    if (!request->spec().idempotent && request->maybeSent()) {
        co_return finish(request, outcomeUnknown("an earlier attempt of the request may have run"));
    }
    peer::v1::ForwardRequest call;
    *call.mutable_record() = request->record(true, request->nextOffset());
    call.mutable_record()->clear_output();
    call.mutable_record()->set_output_offset(request->nextOffset());
    call.set_attempt(attempt.id);
    call.set_sender(m_name);
    const auto left = std::chrono::duration_cast<milliseconds>(request->spec().deadline
                                                               - std::chrono::steady_clock::now());
    ++request->unconfirmedForwards;
    const auto stream = client->forward(call, std::max(left, milliseconds(0)) + DeadlineMargin);
    request->cancelCallbacks()[handle.value] = [&attempt, raw = stream.get()] {
        attempt.cancelled = true;
        raw->cancel();
    };
    co_await readForward(attempt, *stream);
    // A peer that broke off the call gets no more work until its next heartbeat, which takes at
    // most a second if it is alive. Otherwise a lost owner would be sent every retry until its
    // missing heartbeats are noticed.
    const bool interrupted = !attempt.endHandled && !attempt.cancelled && !request->finished();
    if (interrupted)
        m_deps.policy->post(policy::PeerGone { command.peer });
    // Unless the owner has reported that the request was not run, it may have run.
    if (request->unconfirmedForwards > 0) {
        --request->unconfirmedForwards;
        request->markSent();
    }
    ended(attempt, policy::AttemptResult::ConnectionLost);
}

// The crashes are recorded from the answer itself. An owner that lost two servers to a request also
// reports them in its heartbeats, but these may arrive after its answer; the home would know of at
// most one crash and start the request on a third server.
void Dispatcher::recordCrashes(const Request &request, const ForwardEvent &event)
{
    const RequestSpec &spec = request.spec();
    const std::uint64_t fingerprint =
        CrashLedger::fingerprint(spec.customer, spec.service, spec.body);
    for (const std::string &server : event.crashed_servers())
        m_deps.crashes->add({ fingerprint, server }, std::chrono::steady_clock::now());
}

wire::Task<void> Dispatcher::readForward(Attempt &attempt, peer::ForwardCall &call)
{
    const RequestPtr request = attempt.request;
    while (true) {
        auto next = co_await call.read();
        if (attempt.cancelled || request->finished())
            co_return;
        if (!next || !next->has_value())
            co_return;
        const ForwardEvent &event = **next;
        if (event.attempt() != attempt.id) {
            ++m_counters.mismatchedAnswers;
            co_return;
        }
        FinalAnswer answer = answerOf(event);
        recordCrashes(*request, event);
        switch (event.kind()) {
        case ForwardEvent::SENDING:
            request->markSent();
            break;
        case ForwardEvent::CHUNK:
            if (!request->append(event.offset(), event.data()))
                co_return;
            m_deps.policy->post(policy::TokensProduced { request->handle(), attempt.handle, 1 });
            break;
        case ForwardEvent::END:
            answer.outcome = Outcome::Completed;
            answer.body = event.data();
            ended(attempt, policy::AttemptResult::Completed);
            request->finish(std::move(answer));
            co_return;
        case ForwardEvent::NOT_RUN:
            --request->unconfirmedForwards;
            // The owner cannot claim the key, or the key is in use: any other owner would get the
            // same result, and trying others would delay the caller until its deadline.
            if (isFinal(event.code())) {
                answer.outcome = Outcome::NotRun;
                answer.retryAfter = milliseconds(event.retry_after_ms());
                co_return finish(request, std::move(answer));
            }
            co_return declined(attempt, milliseconds(event.retry_after_ms()));
        case ForwardEvent::UNKNOWN:
            answer.outcome = Outcome::Unknown;
            answer.body = event.data();
            co_return finish(request, std::move(answer));
        case ForwardEvent::FAILED:
            request->markSent();
            if (event.server_died())
                request->crashedServers().insert(event.server());
            co_return ended(attempt,
                            event.server_died() ? policy::AttemptResult::ServerDied
                                                : policy::AttemptResult::ConnectionLost);
        default:
            break;
        }
    }
}

} // namespace snipestall::entry
