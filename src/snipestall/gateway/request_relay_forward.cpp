// The part of RequestRelay that forwards a request to another instance, because this one reaches no
// backend server.

#include "snipestall/gateway/request_relay.hpp"

#include "forward_header.hpp"
#include "platform/server_header.hpp"
#include "platform/server_notice.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace snipestall::gateway {

using std::chrono::milliseconds;
using wire::Task;

namespace {

/// An instance that runs accepts a connection within a few round trips.
constexpr milliseconds ConnectTimeout { 200 };
/// Instances that are asked for a free slot of a server whose slots are shared.
constexpr std::size_t MaxShareHolders = 2;

/// Name of the connections to an instance in the pool, different from every key of a server.
std::string poolKey(const std::string &instance)
{
    return "instance:" + instance;
}

} // namespace

std::optional<serving::ForwardTarget> RequestRelay::forwardTarget()
{
    if (wasForwarded() || !m_state.reach.cutOff())
        return std::nullopt;
    return m_state.forwardTargets.choose(m_forwardedTo, m_state.clock.steadyNow());
}

std::optional<serving::ForwardTarget> RequestRelay::shareHolder()
{
    if (wasForwarded() || m_forwardedTo.size() >= MaxShareHolders)
        return std::nullopt;
    const SteadyTime now = m_state.clock.steadyNow();
    std::vector<std::string> holders = m_state.placement.shareHolders(m_placementRequest, now);
    std::erase_if(holders, [this, now](const std::string &name) {
        return m_forwardedTo.contains(name) || !m_state.forwardTargets.find(name, now);
    });
    if (holders.empty())
        return std::nullopt;
    return m_state.forwardTargets.find(holders[m_state.random.below(holders.size())], now);
}

BackendCall::Request RequestRelay::forwardedRequest() const
{
    const CallerConnection::Request &from = m_caller->request();
    BackendCall::Request request;
    request.method_string(from.method_string());
    request.target(from.target());
    request.version(11);
    const auto left =
        std::chrono::duration_cast<milliseconds>(m_callerDeadline - m_state.clock.steadyNow());
    platform::writeForwardHeader(from, std::max(left, milliseconds(1)), m_answer.lastEvent(),
                                 request);
    eraseForwardFields(request);
    request.set(ForwardConfigField, std::to_string(m_catalogue->version()));
    setForwardedAttempts(m_budget.grant(), request);
    setForwardedOrigin(m_answer.origin(), request);
    if (m_usageCounted)
        request.set(ForwardCountedField, "1");
    request.body() = from.body();
    request.prepare_payload();
    return request;
}

Task<RequestRelay::AttemptEnd> RequestRelay::forward(serving::ForwardTarget target)
{
    m_forwardedTo.insert(target.name);
    const serving::AttemptCounts granted = m_budget.grant();
    ++m_state.counters.forwarded;
    m_connectionRejected = false;
    m_answerLost = false;
    m_atInstance = true;
    m_forwardUnsent = false;
    m_sentAt = m_state.clock.steadyNow();
    m_firstByteAt.reset();
    m_unreadTokens = 0;
    m_tokensAhead = 0;
    m_versions.attemptForwarded();
    // Stands for the server, which the other instance chooses. It is in no table.
    const auto instance = std::make_shared<serving::ServerState>();
    instance->key = poolKey(target.name);
    m_call = std::make_shared<BackendCall>(m_state.io, m_state.backends, m_state.clock,
                                           instance->key, target.address);
    const auto call = m_call;
    BackendCall::Request request = forwardedRequest();
    BackendCall::IsWanted isWanted = [this] {
        m_callerGone |= m_caller->hasDisconnected();
        return !m_callerGone && !m_cancelled;
    };
    const CallStart start = co_await call->start(std::move(request), m_header.attemptId,
                                                 ConnectTimeout, m_deadline, std::move(isWanted));
    useRepeat(*call);
    AttemptEnd end = AttemptEnd::NotRun;
    const bool unreachable = start == CallStart::Unreachable || start == CallStart::Lost;
    if (unreachable && !m_callerGone && !m_cancelled)
        m_state.forwardTargets.failed(target.name, m_state.clock.steadyNow());
    if (start == CallStart::Answered) {
        end = co_await handleForwardedAnswer(instance, granted);
    } else if (start == CallStart::Lost || start == CallStart::TimedOut) {
        m_maybeRan = true;
        m_budget.usedElsewhere(granted);
        end = start == CallStart::TimedOut ? AttemptEnd::TimedOut : AttemptEnd::Failed;
    }
    if (start == CallStart::Unreachable) {
        m_budget.sent();
        m_forwardUnsent = true;
    }
    m_atInstance = false;
    m_call.reset();
    logEvent(events::RequestForwarded,
             { { "attempt", m_header.attemptId },
               { "instance", target.name },
               { "granted_runs", std::to_string(granted.runs) },
               { "runs", std::to_string(m_budget.used().runs) },
               { "sends", std::to_string(m_budget.used().sends) },
               { "start", std::to_string(static_cast<int>(start)) },
               { "end", std::to_string(static_cast<int>(end)) } });
    co_return end;
}

Task<RequestRelay::AttemptEnd>
RequestRelay::handleForwardedAnswer(const serving::ServerStatePtr &instance,
                                    serving::AttemptCounts granted)
{
    const BackendCall::Head &head = m_call->head();
    const auto stated = forwardedAttempts(head);
    if (const auto notRun = head.find(ForwardNotRunField); notRun != head.end()) {
        m_forwardUnsent = notRun->value() == ForwardUnsent;
        m_peerRetryAfter = platform::readRetryAfter(head, m_state.clock.wallNow());
        m_budget.usedElsewhere({ 0, m_forwardUnsent ? 1 : stated.value_or(granted).sends });
        co_await readRejection();
        co_return AttemptEnd::NotRun;
    }
    m_maybeRan = true;
    const serving::AttemptCounts used = stated.value_or(serving::AttemptCounts());
    m_budget.usedElsewhere({ std::max(used.runs, 1), std::max(used.sends, 1) });
    const AttemptEnd end = co_await relayForwardedAnswer(instance);
    // The other instance may have gone on after the head of an answer that then broke off.
    if (end != AttemptEnd::Final && !stated)
        m_budget.usedElsewhere(granted);
    co_return end;
}

Task<RequestRelay::AttemptEnd>
RequestRelay::relayForwardedAnswer(const serving::ServerStatePtr &instance)
{
    const BackendCall::Head &head = m_call->head();
    if (!m_answer.canContinueWith(head))
        co_return co_await dropAnswer(*instance);
    const unsigned status = head.result_int();
    if (platform::promisesNotRun(status))
        co_return co_await withholdPromise(*instance);
    const auto parsed = platform::readServerResponse(status, head);
    if (!mayStream(status) || !parsed.mayBeEventStream)
        co_return co_await relayWhole(instance);
    const std::optional<serving::StreamOrigin> origin = forwardedOrigin(head);
    if (m_answer.origin() && m_answer.origin() != origin)
        co_return co_await dropAnswer(*instance);
    co_return co_await relayStream(instance, origin);
}

} // namespace snipestall::gateway
