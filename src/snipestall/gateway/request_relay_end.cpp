// The part of RequestRelay that ends a request: its own answers, and the log lines of its end.

#include "snipestall/gateway/request_relay.hpp"

#include "forward_header.hpp"
#include "platform/server_header.hpp"
#include "relay_text.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/serving/return_time.hpp"

#include <boost/beast/http/field.hpp>

#include <utility>

namespace snipestall::gateway {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using wire::Task;

CallerConnection::Answer RequestRelay::ownAnswer(unsigned status) const
{
    CallerConnection::Answer answer;
    answer.result(status);
    answer.version(m_caller->request().version());
    platform::setAttemptId(m_header.attemptId, answer);
    answer.prepare_payload();
    return answer;
}

CallerConnection::Answer RequestRelay::refusal(unsigned status, milliseconds retryAfter) const
{
    CallerConnection::Answer answer = ownAnswer(status);
    answer.set(http::field::retry_after, retryAfterText(retryAfter));
    if (wasForwarded())
        answer.set(ForwardNotRunField, m_budget.used().sends > 0 ? ForwardRejected : ForwardUnsent);
    return answer;
}

bool RequestRelay::closesAfterAnswer() const
{
    // Requests that the caller has sent behind this one get an answer as well.
    return m_state.draining() && !m_caller->hasUnread();
}

Task<void> RequestRelay::answer(CallerConnection::Answer answer, const char *reason)
{
    const unsigned status = answer.result_int();
    if (closesAfterAnswer())
        m_keepAlive = false;
    if (wasForwarded())
        setForwardedAttempts(m_budget.used(), answer);
    answer.keep_alive(m_keepAlive);
    m_keepAlive = co_await m_answer.writeWhole(std::move(answer)) && m_keepAlive;
    logEnd(status, reason);
}

void RequestRelay::logEnd(unsigned status, const char *reason) const
{
    const auto passed = m_state.clock.steadyNow() - m_received;
    m_state.metrics.recordRequestEnd(status, passed);
    logEvent(events::GatewayRequestEnded,
             { { "attempt", m_header.attemptId },
               { "status", std::to_string(status) },
               { "reason", reason },
               { "route", m_route == nullptr ? "" : m_route->name },
               { "customer", m_customer == nullptr ? "" : m_customer->name },
               { "units", m_customer == nullptr ? "" : integerText(quotaUnits()) },
               { "resumes", m_header.resumes },
               { "after_event",
                 m_header.resumeAfter ? std::to_string(*m_header.resumeAfter) : std::string() },
               { "config", m_catalogue ? std::to_string(m_catalogue->version()) : "none" },
               { "forwarded", wasForwarded() ? "yes" : "no" },
               { "runs", std::to_string(m_budget.used().runs) },
               { "sends", std::to_string(m_budget.used().sends) },
               { "ms", std::to_string(toMillis(passed)) } });
}

void RequestRelay::logUnanswered() const
{
    logEvent(events::RequestCut,
             { { "attempt", m_header.attemptId },
               { "route", m_route == nullptr ? "" : m_route->name },
               { "runs", std::to_string(m_budget.used().runs) },
               { "sends", std::to_string(m_budget.used().sends) },
               { "answer_begun", m_answer.begun() ? "yes" : "no" },
               { "ms", std::to_string(toMillis(m_state.clock.steadyNow() - m_received)) } });
}

Task<void> RequestRelay::finishUnserved(AttemptEnd last)
{
    if (!m_maybeRan && m_quotaTaken)
        m_state.quotas.refund(m_customer->name, quotaUnits());
    if (m_callerGone) {
        recordCallerLeft();
        co_return;
    }
    if (m_answer.begun()) {
        if (m_answer.origin() && m_serverMissing)
            logNotResumed("no-server-of-version");
        abortAnswer("stream-broken");
        co_return;
    }
    if (m_failure) {
        ++m_state.counters.failed;
        co_await answer(std::move(*m_failure), "server-failed");
        co_return;
    }
    if (!m_maybeRan) {
        ++m_state.counters.refused;
        if (m_cancelled || m_processEnds)
            co_await answer(refusal(503, RetryAfterShutdown), "shutting-down");
        else if (m_overload)
            co_await refuseByLoad();
        else if (const auto rest =
                     m_state.placement.waitForRests(m_placementRequest, m_state.clock.steadyNow()))
            co_await refuseByRests(*rest);
        else if (const auto wait =
                     m_state.placement.waitForLimits(m_placementRequest, m_state.clock.steadyNow()))
            co_await answer(refusal(503, *wait), "server-limit");
        else if (m_answer.origin())
            co_await refuseRest();
        else
            co_await answer(refusal(503, m_peerRetryAfter.value_or(RetryAfterNoServer)),
                            "no-server");
        co_return;
    }
    ++m_state.counters.failed;
    const bool late = last == AttemptEnd::TimedOut;
    const bool blocked = m_state.crashes.isBlocked(m_fingerprint, m_state.clock.steadyNow());
    const char *reason = late ? "timeout"
        : m_cancelled         ? "shutting-down"
        : blocked             ? "ends-servers"
        : partBlocked()       ? "part-ends-servers"
                              : "answer-lost";
    co_await answer(ownAnswer(late ? 504 : 502), reason);
}

Task<void> RequestRelay::refuseByLoad()
{
    ++m_state.counters.overloadRefused;
    const milliseconds retryAfter = returnAfter(m_overload->retryAfter);
    const bool overShare = m_customer != nullptr && m_state.shares.isOver(m_customer->name);
    logEvent(events::OverloadRefused,
             { { "attempt", m_header.attemptId },
               { "customer", m_customer == nullptr ? "" : m_customer->name },
               { "route", m_route->name },
               { "predicted_ms", std::to_string(m_overload->predicted.count()) },
               { "target_ms", std::to_string(m_route->targetLatency.count()) },
               { "over_share", overShare ? "yes" : "no" },
               { "retry_after_ms", std::to_string(retryAfter.count()) } });
    co_await answer(refusal(503, retryAfter), "overload");
}

Task<void> RequestRelay::refuseByRests(milliseconds wait)
{
    const milliseconds retryAfter = serving::returnTimeAfter(wait, m_state.random.uniform());
    logEvent(events::RestsRefused,
             { { "attempt", m_header.attemptId },
               { "service", m_placementRequest.service->name },
               { "servers", std::to_string(m_state.servers.notices().rests()) },
               { "sends", std::to_string(m_budget.used().sends) },
               { "first_rest_ends_ms", std::to_string(wait.count()) },
               { "retry_after_ms", std::to_string(retryAfter.count()) } });
    co_await answer(refusal(503, retryAfter), "servers-rest");
}

void RequestRelay::recordCallerLeft()
{
    ++m_state.counters.callersGone;
    logEnd(0, "caller-left");
}

void RequestRelay::abortAnswer(const char *reason)
{
    ++m_state.counters.failed;
    m_keepAlive = false;
    m_answer.abort();
    logEnd(0, reason);
}

} // namespace snipestall::gateway
