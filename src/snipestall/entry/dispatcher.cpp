#include "snipestall/entry/dispatcher.hpp"

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/base/rendezvous.hpp"
#include "snipestall/entry/backend_directory.hpp"
#include "snipestall/entry/crash_ledger.hpp"
#include "snipestall/entry/policy_loop.hpp"
#include "snipestall/entry/request_store.hpp"
#include "snipestall/peer/record_keeper.hpp"

#include "attempt.hpp"
#include "refusal.hpp"
#include "trial_gate.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace snipestall::entry {

namespace {

constexpr int StatusUnavailable = 503;
constexpr std::size_t PrefixBlock = 64;
/// As the policy's own count: one death may be the server's fault, two are the request's.
constexpr std::size_t ServersLostAtMost = 2;
/// Deeper prefixes add bytes to each event and hardly a hit.
constexpr std::size_t MaxPrefixBlocks = 32;

std::vector<std::uint64_t> prefixChain(const std::string &prompt)
{
    std::vector<std::uint64_t> chain;
    const std::size_t blocks = std::min(prompt.size() / PrefixBlock, MaxPrefixBlocks);
    for (std::size_t block = 1; block <= blocks; ++block)
        chain.push_back(stableHash(std::string_view(prompt).substr(0, block * PrefixBlock)));
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

void Dispatcher::arrive(const RequestPtr &request, bool accepted)
{
    m_links.store->add(request);
    const bool fresh = !accepted && !request->forwarded;
    if (!fresh || !refuseDuringTrial(request))
        submit(request, accepted);
    if (!request->forwarded)
        boost::asio::co_spawn(*m_links.io, replicate(request), boost::asio::detached);
}

bool Dispatcher::refuseDuringTrial(const RequestPtr &request)
{
    const RequestSpec &spec = request->spec();
    const auto left =
        m_links.crashes->trialLeft(CrashLedger::fingerprint(spec.customer, spec.service, spec.body),
                                   std::chrono::steady_clock::now());
    if (left.count() <= 0)
        return false;
    FinalAnswer answer;
    answer.outcome = Outcome::NotRun;
    answer.status = StatusUnavailable;
    answer.code = "suspected";
    answer.reason =
        "the same request has just taken down a backend server and is being tried again";
    answer.retryAfter = left;
    logRefusal(*request, answer);
    finish(request, std::move(answer));
    return true;
}

wire::Task<bool> Dispatcher::awaitTrial(RequestPtr request)
{
    co_await m_links.trials->begin(request);
    if (request->finished() || request->moved || refuseQuarantined(request))
        co_return false;
    // A copy of it that ran has taken a server down meanwhile; this one has cost nothing yet.
    co_return request->forwarded || request->maybeSent() || !refuseDuringTrial(request);
}

void Dispatcher::submit(const RequestPtr &request, bool accepted)
{
    // A caller whose request took a server down sends it again, perhaps at another instance. Its
    // fingerprint brings along which servers died with it, so that it is not given a third.
    const RequestSpec &spec = request->spec();
    const std::string from = request->forwarded ? "peer" : accepted ? "home" : "caller";
    logEvent(events::RequestAccepted,
             { { "request", spec.id },
               { "service", spec.service },
               { "from", from },
               { "offset", std::to_string(request->nextOffset()) } });
    const std::uint64_t fingerprint =
        CrashLedger::fingerprint(spec.customer, spec.service, spec.body);
    const auto known = m_links.crashes->servers(fingerprint);
    request->crashedServers().insert(known.begin(), known.end());
    policy::RequestArrived event = arrival(*request, accepted);
    event.fingerprint = fingerprint;
    event.crashes = static_cast<std::uint32_t>(request->crashedServers().size());
    m_links.policy->post(std::move(event));
}

void Dispatcher::cancel(const RequestPtr &request)
{
    if (request->finished())
        return;
    FinalAnswer answer;
    answer.outcome = request->maybeSent() ? Outcome::Failed : Outcome::NotRun;
    answer.status = 499;
    answer.code = "cancelled";
    answer.reason = "nobody waits for the answer any more";
    finish(request, std::move(answer));
}

void Dispatcher::finish(const RequestPtr &request, FinalAnswer answer)
{
    if (!request->finish(std::move(answer)))
        return;
    giveBackClaim(*request);
    m_links.policy->post(policy::RequestCancelled { request->handle() });
    const auto cancels = std::exchange(request->cancels(), {});
    for (const auto &[attempt, cancel] : cancels)
        cancel();
}

void Dispatcher::suspend(const RequestPtr &request)
{
    request->suspended = true;
}

void Dispatcher::release(const RequestPtr &request)
{
    request->moved = true;
    giveBackClaim(*request);
    m_links.policy->post(policy::RequestCancelled { request->handle() });
    const auto cancels = std::exchange(request->cancels(), {});
    for (const auto &[attempt, cancel] : cancels)
        cancel();
    m_links.store->remove(request);
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
        co_await m_links.records->hold(request);
    while (request->suspended && !request->moved && !request->finished())
        co_await request->changed().wait();
}

// Output is shown to the caller only once the buddy has it. Without that, a caller that had read
// further than the copy of an instance that died would be given a continuation generated anew
// from an earlier token: an answer joined of two that don't fit.
wire::Task<void> Dispatcher::replicate(RequestPtr request)
{
    while (true) {
        const std::uint64_t progress = request->progress();
        if (progress > request->released()) {
            co_await m_links.records->hold(request);
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

// The policy counts the crashes that this instance has seen. Copies of one request at several
// instances each take down a server before the first report is round; whoever is about to send it
// a third time has heard of the others by then.
bool Dispatcher::refuseQuarantined(const RequestPtr &request)
{
    const RequestSpec &spec = request->spec();
    const auto known =
        m_links.crashes->servers(CrashLedger::fingerprint(spec.customer, spec.service, spec.body));
    if (known.size() < ServersLostAtMost)
        return false;
    execute(policy::Refuse { request->handle(), policy::RefusalReason::Quarantined, {} });
    return true;
}

void Dispatcher::execute(const policy::Dispatch &command)
{
    const RequestPtr request = m_links.store->find(command.request);
    const Backend *server = m_links.backends->find(command.server);
    if (request == nullptr || request->finished() || refuseQuarantined(request))
        return;
    if (server == nullptr) {
        m_links.policy->post(policy::AttemptEnded {
            command.request, command.attempt, policy::AttemptResult::NotSent, {} });
        return;
    }
    boost::asio::co_spawn(*m_links.io, runOnServer(request, command.attempt, *server, {}),
                          boost::asio::detached);
}

void Dispatcher::execute(const policy::ForwardTo &command)
{
    const RequestPtr request = m_links.store->find(command.request);
    if (request == nullptr || request->finished() || refuseQuarantined(request))
        return;
    boost::asio::co_spawn(*m_links.io, runOnPeer(request, command), boost::asio::detached);
}

void Dispatcher::execute(const policy::Refuse &command)
{
    const RequestPtr request = m_links.store->find(command.request);
    if (request == nullptr || request->finished())
        return;
    FinalAnswer answer = refusal(*request, command);
    logRefusal(*request, answer);
    finish(request, std::move(answer));
}

void Dispatcher::execute(const policy::CancelAttempt &command)
{
    const RequestPtr request = m_links.store->find(command.request);
    if (request == nullptr)
        return;
    const auto it = request->cancels().find(command.attempt.value);
    if (it == request->cancels().end())
        return;
    const auto cancel = std::move(it->second);
    request->cancels().erase(it);
    cancel();
}

void Dispatcher::execute(const policy::MoveStream &command)
{
    const RequestPtr request = m_links.store->find(command.request);
    const Backend *target = m_links.backends->find(command.target);
    if (request == nullptr || request->finished())
        return;
    if (target == nullptr) {
        m_links.policy->post(policy::AttemptEnded {
            command.request, command.attempt, policy::AttemptResult::NotSent, {} });
        return;
    }
    const auto running = m_onServer.find(command.from);
    const Backend *from =
        running == m_onServer.end() ? nullptr : m_links.backends->find(running->second);
    logEvent(events::RequestResumed,
             { { "request", request->spec().id }, { "server", target->listed.name } });
    boost::asio::co_spawn(*m_links.io,
                          move(request, command, from == nullptr ? Backend {} : *from, *target),
                          boost::asio::detached);
}

void Dispatcher::execute(const policy::StartInstance &)
{
    // Not carried out yet, nor is the policy given the report that it would decide by: without a
    // measure of what a busy server can serve it buys too much (docs/decisions).
}

void Dispatcher::execute(const policy::ReleaseInstance &) { }

void Dispatcher::ended(Attempt &attempt, policy::AttemptResult result,
                       std::chrono::milliseconds retryAfter)
{
    if (std::exchange(attempt.over, true))
        return;
    logEvent(events::AttemptEnded,
             { { "request", attempt.request->spec().id },
               { "attempt", attempt.id },
               { "result", std::to_string(static_cast<int>(result)) } });
    attempt.request->cancels().erase(attempt.handle.value);
    m_onServer.erase(attempt.handle);
    if (attempt.cancelled || attempt.request->finished())
        return;
    m_links.policy->post(
        policy::AttemptEnded { attempt.request->handle(), attempt.handle, result, retryAfter });
}

void Dispatcher::declined(Attempt &attempt, std::chrono::milliseconds retryAfter)
{
    ended(attempt, policy::AttemptResult::Declined, retryAfter);
}

} // namespace snipestall::entry
