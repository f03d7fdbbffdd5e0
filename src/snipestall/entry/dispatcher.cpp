#include "snipestall/entry/dispatcher.hpp"

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/base/rendezvous.hpp"
#include "snipestall/entry/backend_directory.hpp"
#include "snipestall/entry/crash_ledger.hpp"
#include "snipestall/entry/policy_loop.hpp"
#include "snipestall/entry/request_store.hpp"
#include "snipestall/peer/record_keeper.hpp"
#include "snipestall/wire/spawn.hpp"

#include "attempt.hpp"
#include "refusal.hpp"
#include "trial_coordinator.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::entry {

namespace {

constexpr int StatusUnavailable = 503;
/// Bytes of a prompt per prefix hash.
constexpr std::size_t PrefixBlockBytes = 64;
/// Same limit as in the policy: one crash may be the server's fault, two are attributed to the
/// request.
constexpr std::size_t MaxServersLost = 2;
/// Longer prefix chains would make each event larger and add hardly any cache hits.
constexpr std::size_t MaxPrefixBlocks = 32;

std::vector<std::uint64_t> prefixChain(const std::string &prompt)
{
    std::vector<std::uint64_t> chain;
    const std::size_t blocks = std::min(prompt.size() / PrefixBlockBytes, MaxPrefixBlocks);
    for (std::size_t block = 1; block <= blocks; ++block)
        chain.push_back(stableHash(std::string_view(prompt).substr(0, block * PrefixBlockBytes)));
    return chain;
}

policy::RequestArrived arrival(const Request &request, bool accepted)
{
    const RequestSpec &spec = request.spec();
    policy::RequestArrived event;
    event.request = request.handle();
    event.customer = spec.customer;
    event.service = spec.service;
    event.urgency = spec.urgency;
    event.promptTokens = spec.promptTokens;
    event.maxTokens = spec.maxTokens;
    event.deadline = PolicyLoop::toPolicy(spec.deadline);
    event.idempotent = spec.idempotent;
    if (spec.kind == settings::ServiceKind::Model)
        event.prefix = prefixChain(spec.body);
    event.forwarded = request.forwarded;
    event.accepted = accepted;
    event.resumeOffset = static_cast<std::uint32_t>(request.nextOffset());
    return event;
}

void logRefusal(const Request &request, const FinalAnswer &answer)
{
    const EventInfo *event = &events::RequestRefused;
    if (answer.outcome == Outcome::Unknown)
        event = &events::RequestOutcomeUnknown;
    if (answer.outcome == Outcome::Failed)
        event = &events::RequestFailed;
    if (answer.code == policy::toString(policy::RefusalReason::Quarantined))
        event = &events::RequestQuarantined;
    logEvent(*event,
             { { "request", request.spec().id },
               { "customer", request.spec().customer },
               { "reason", answer.code } });
}

} // namespace

Dispatcher::Dispatcher(std::string name, std::uint64_t incarnation)
    : m_name(std::move(name))
    , m_incarnation(incarnation)
{ }

Dispatcher::~Dispatcher() = default;

std::string Dispatcher::attemptId(policy::AttemptHandle handle) const
{
    return m_name + "/" + std::to_string(m_incarnation) + "/" + std::to_string(handle.value);
}

void Dispatcher::handleArrival(const RequestPtr &request, bool accepted)
{
    m_deps.store->add(request);
    const bool isNew = !accepted && !request->forwarded;
    if (!isNew || !refuseDuringTrial(request))
        submit(request, accepted);
    if (!request->forwarded)
        wire::spawn(*m_deps.io, replicate(request), "replicate");
}

bool Dispatcher::refuseDuringTrial(const RequestPtr &request)
{
    const RequestSpec &spec = request->spec();
    const auto left = m_deps.crashes->remainingTrialTime(
        CrashLedger::fingerprint(spec.customer, spec.service, spec.body),
        std::chrono::steady_clock::now());
    if (left.count() <= 0)
        return false;
    FinalAnswer answer;
    answer.outcome = Outcome::NotRun;
    answer.status = StatusUnavailable;
    answer.code = "suspected";
    answer.reason = "the same request has just crashed a backend server and is being retried";
    answer.retryAfter = left;
    logRefusal(*request, answer);
    finish(request, std::move(answer));
    return true;
}

wire::Task<bool> Dispatcher::awaitTrial(RequestPtr request)
{
    co_await m_deps.trials->awaitTurn(request);
    if (request->finished() || request->moved || refuseQuarantined(request))
        co_return false;
    // Another copy may have crashed a server in the meantime; this copy has not run yet, so it can
    // be refused.
    co_return request->forwarded || request->maybeSent() || !refuseDuringTrial(request);
}

void Dispatcher::submit(const RequestPtr &request, bool accepted)
{
    // A caller whose request crashed a server may send it again, perhaps to another instance. The
    // crashes recorded under its fingerprint are added, so that the request does not reach a third
    // server.
    const RequestSpec &spec = request->spec();
    const std::string from = request->forwarded ? "peer" : accepted ? "home" : "caller";
    logEvent(events::RequestAccepted,
             { { "request", spec.id },
               { "service", spec.service },
               { "from", from },
               { "offset", std::to_string(request->nextOffset()) } });
    const std::uint64_t fingerprint =
        CrashLedger::fingerprint(spec.customer, spec.service, spec.body);
    const auto known = m_deps.crashes->servers(fingerprint);
    request->crashedServers().insert(known.begin(), known.end());
    policy::RequestArrived event = arrival(*request, accepted);
    event.fingerprint = fingerprint;
    event.crashes = static_cast<std::uint32_t>(request->crashedServers().size());
    m_deps.policy->post(std::move(event));
}

void Dispatcher::cancel(const RequestPtr &request)
{
    if (request->finished())
        return;
    FinalAnswer answer;
    answer.outcome = request->maybeSent() ? Outcome::Failed : Outcome::NotRun;
    answer.status = 499;
    answer.code = "cancelled";
    answer.reason = "the request was cancelled because its answer is no longer needed";
    finish(request, std::move(answer));
}

void Dispatcher::finish(const RequestPtr &request, FinalAnswer answer)
{
    if (!request->finish(std::move(answer)))
        return;
    releaseClaim(*request);
    m_deps.policy->post(policy::RequestCancelled { request->handle() });
    const auto cancelCallbacks = std::exchange(request->cancelCallbacks(), {});
    for (const auto &[attempt, cancel] : cancelCallbacks)
        cancel();
}

void Dispatcher::suspend(const RequestPtr &request)
{
    request->suspended = true;
}

void Dispatcher::release(const RequestPtr &request)
{
    request->moved = true;
    releaseClaim(*request);
    m_deps.policy->post(policy::RequestCancelled { request->handle() });
    const auto cancelCallbacks = std::exchange(request->cancelCallbacks(), {});
    for (const auto &[attempt, cancel] : cancelCallbacks)
        cancel();
    m_deps.store->remove(request);
    request->changed().notifyAll();
}

void Dispatcher::resume(const RequestPtr &request)
{
    request->suspended = false;
    request->changed().notifyAll();
}

wire::Task<void> Dispatcher::accept(RequestPtr request)
{
    if (!request->forwarded)
        co_await m_deps.records->hold(request);
    while (request->suspended && !request->moved && !request->finished())
        co_await request->changed().wait();
}

// Output is released to the caller only once the buddy has it. Otherwise a caller could have read
// further than the replica of a lost instance, and would get a continuation that is generated again
// from an earlier token: an answer made of two parts that do not match.
wire::Task<void> Dispatcher::replicate(RequestPtr request)
{
    while (true) {
        const std::uint64_t progress = request->progress();
        if (progress > request->released()) {
            co_await m_deps.records->hold(request);
            request->release(progress);
            continue;
        }
        if (request->finished() || request->moved)
            co_return;
        co_await request->changed().wait();
    }
}

void Dispatcher::addPeer(policy::PeerHandle handle, const std::string &name)
{
    m_peers[handle] = name;
}

// The policy counts only the crashes that this instance knew when the request was submitted. Copies
// of one request on several instances may each crash a server before the first crash report has
// reached all instances. By the time an instance is about to send the request a third time, it has
// received those reports.
bool Dispatcher::refuseQuarantined(const RequestPtr &request)
{
    const RequestSpec &spec = request->spec();
    const auto known =
        m_deps.crashes->servers(CrashLedger::fingerprint(spec.customer, spec.service, spec.body));
    if (known.size() < MaxServersLost)
        return false;
    execute(policy::Refuse { request->handle(), policy::RefusalReason::Quarantined, {} });
    return true;
}

void Dispatcher::execute(const policy::Dispatch &command)
{
    const RequestPtr request = m_deps.store->find(command.request);
    const Backend *server = m_deps.backends->find(command.server);
    if (request == nullptr || request->finished() || refuseQuarantined(request))
        return;
    if (server == nullptr) {
        m_deps.policy->post(policy::AttemptEnded {
            command.request, command.attempt, policy::AttemptResult::NotSent, {} });
        return;
    }
    wire::spawn(*m_deps.io, runOnServer(request, command.attempt, *server, {}), "attempt");
}

void Dispatcher::execute(const policy::ForwardTo &command)
{
    const RequestPtr request = m_deps.store->find(command.request);
    if (request == nullptr || request->finished() || refuseQuarantined(request))
        return;
    wire::spawn(*m_deps.io, runOnPeer(request, command), "forward");
}

void Dispatcher::execute(const policy::Refuse &command)
{
    const RequestPtr request = m_deps.store->find(command.request);
    if (request == nullptr || request->finished())
        return;
    FinalAnswer answer = refusal(*request, command);
    logRefusal(*request, answer);
    finish(request, std::move(answer));
}

void Dispatcher::execute(const policy::CancelAttempt &command)
{
    const RequestPtr request = m_deps.store->find(command.request);
    if (request == nullptr)
        return;
    const auto it = request->cancelCallbacks().find(command.attempt.value);
    if (it == request->cancelCallbacks().end())
        return;
    const auto cancel = std::move(it->second);
    request->cancelCallbacks().erase(it);
    cancel();
}

void Dispatcher::execute(const policy::MoveStream &command)
{
    const RequestPtr request = m_deps.store->find(command.request);
    const Backend *target = m_deps.backends->find(command.target);
    if (request == nullptr || request->finished())
        return;
    if (target == nullptr) {
        m_deps.policy->post(policy::AttemptEnded {
            command.request, command.attempt, policy::AttemptResult::NotSent, {} });
        return;
    }
    const auto running = m_onServer.find(command.from);
    const Backend *from =
        running == m_onServer.end() ? nullptr : m_deps.backends->find(running->second);
    logEvent(events::RequestResumed,
             { { "request", request->spec().id }, { "server", target->listed.name } });
    wire::spawn(*m_deps.io, move(request, command, from == nullptr ? Backend {} : *from, *target),
                "move");
}

void Dispatcher::execute(const policy::StartInstance &)
{
    // Not implemented, and the policy does not get the report on which it would base the decision:
    // without a measure of what a busy server can serve, it would buy too much (docs/decisions).
}

void Dispatcher::execute(const policy::ReleaseInstance &) { }

void Dispatcher::ended(Attempt &attempt, policy::AttemptResult result,
                       std::chrono::milliseconds retryAfter)
{
    if (std::exchange(attempt.endHandled, true))
        return;
    logEvent(events::AttemptEnded,
             { { "request", attempt.request->spec().id },
               { "attempt", attempt.id },
               { "result", std::to_string(static_cast<int>(result)) } });
    attempt.request->cancelCallbacks().erase(attempt.handle.value);
    m_onServer.erase(attempt.handle);
    if (attempt.cancelled || attempt.request->finished())
        return;
    m_deps.policy->post(
        policy::AttemptEnded { attempt.request->handle(), attempt.handle, result, retryAfter });
}

void Dispatcher::declined(Attempt &attempt, std::chrono::milliseconds retryAfter)
{
    ended(attempt, policy::AttemptResult::Declined, retryAfter);
}

} // namespace snipestall::entry
