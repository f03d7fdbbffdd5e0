// The part of RequestRelay that decides whether a request is admitted.

#include "snipestall/gateway/request_relay.hpp"

#include "forward_header.hpp"
#include "relay_text.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/base/rendezvous.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/gateway/head_check.hpp"
#include "snipestall/serving/return_time.hpp"
#include "snipestall/wire/signal.hpp"

#include <boost/beast/http/field.hpp>

namespace snipestall::gateway {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using wire::Task;

namespace {

/// Interval at which a request that waits for the first read of the store checks whether it is
/// done.
constexpr milliseconds StartTick { 2 };
/// Retry time for an instance that has no configuration yet.
constexpr milliseconds RetryAfterNoConfig { 500 };
/// Retry time for a stream whose origin is not known: the reports of other instances arrive within
/// this time.
constexpr milliseconds RetryAfterUnknownOrigin { 500 };

const std::string &pickService(const serving::Route &route, Random &random)
{
    double total = 0;
    for (const serving::RouteTarget &target : route.targets)
        total += target.weight;
    double at = random.uniform() * total;
    for (const serving::RouteTarget &target : route.targets) {
        at -= target.weight;
        if (at < 0)
            return target.service;
    }
    return route.targets.back().service;
}

/// Identifies a request when its caller repeats it with another attempt id.
std::uint64_t fingerprintOf(const CallerConnection::Request &request,
                            const serving::Customer *customer)
{
    std::string text(request.method_string());
    text.append(" ").append(request.target()).append("\n");
    if (customer != nullptr)
        text += customer->name;
    text += '\n';
    return stableHash(text, *request.body());
}

} // namespace

Task<void> RequestRelay::awaitStart()
{
    while (!m_state.canServe() && !m_callerGone
           && m_state.clock.steadyNow() - m_received < m_state.settings.startWait)
        co_await wire::sleepFor(StartTick);
    m_catalogue = m_state.catalogue;
}

Task<bool> RequestRelay::admit()
{
    const auto refuse = [this](CallerConnection::Answer response,
                               const char *reason) -> Task<bool> {
        ++m_state.counters.refused;
        co_await answer(std::move(response), reason);
        co_return false;
    };
    if (!m_state.takesWork())
        co_return co_await refuse(refusal(503, RetryAfterShutdown), "shutting-down");
    if (!m_catalogue)
        co_return co_await refuse(refusal(503, RetryAfterNoConfig), "no-configuration");
    const CallerConnection::Request &request = m_caller->request();
    // The callers of the other instance have seen the effects of its configuration.
    if (wasForwarded() && m_catalogue->version() < forwardedConfigVersion(request))
        co_return co_await refuse(refusal(503, RetryAfterNoConfig), "older-configuration");
    const HeadMatch match = matchHead(*m_catalogue, m_header, request);
    m_route = match.route;
    m_customer = match.customer;
    if (match.refusal)
        co_return co_await refuse(ownAnswer(match.refusal->status), match.refusal->reason);
    // The request has been waiting in this process for about as long as other events have.
    const SteadyTime arrived = m_received - m_state.loopLag.last();
    m_callerDeadline = arrived + m_header.deadline.value_or(m_route->timeout);
    m_deadline = std::min(m_callerDeadline, arrived + m_route->timeout);
    m_placementRequest.service = m_catalogue->service(pickService(*m_route, m_state.random));
    if (m_placementRequest.service == nullptr)
        co_return co_await refuse(refusal(503, RetryAfterNoServer), "unknown-service");
    if (!canFinish())
        co_return co_await refuse(refusal(503, RetryAfterShutdown), "shutting-down");
    m_placementRequest.prompt = m_header.prompt;
    m_placementRequest.band =
        static_cast<std::size_t>(m_catalogue->engineRanks().band(m_customer, *m_route));
    m_placementRequest.mayRepeat = m_route->mayRepeat();
    m_placementRequest.beginsResumable = m_route->isStream() && m_route->mayRepeat();
    if (m_placementRequest.beginsResumable && m_header.resumeFaulty)
        co_return co_await refuse(ownAnswer(400), "unreadable-resume");
    if (m_placementRequest.beginsResumable && m_header.resumeAfter) {
        if (const char *reason = co_await bindToOrigin())
            co_return co_await refuse(refusal(503, RetryAfterUnknownOrigin), reason);
    } else if (m_header.resumeAfter) {
        m_answer.resume(*m_header.resumeAfter, std::nullopt);
    }
    m_fingerprint = fingerprintOf(request, m_customer);
    if (!m_state.crashes.wasAnswered(m_fingerprint))
        m_placementRequest.unansweredFingerprint = m_fingerprint;
    if (m_state.crashes.isBlocked(m_fingerprint, m_received))
        co_return co_await refuse(refusal(503, RetryAfterCrashes), "ends-servers");
    if (!co_await admitParts())
        co_return false;
    m_versions.setRequest(m_placementRequest.service->name, m_route->name);
    m_budget = serving::AttemptBudget(m_route->attemptLimit);
    // What a request takes of limits is counted by the instance that its caller has sent it to.
    if (wasForwarded()) {
        // An instance that states no attempts, or none that can be read, may have used all but one.
        m_budget.restrictTo(forwardedAttempts(request).value_or(serving::AttemptBudget(1).grant()));
        if (m_budget.exhausted())
            co_return co_await refuse(refusal(503, RetryAfterNoServer), "no-attempts-left");
        m_usageCounted = request.find(ForwardCountedField) != request.end();
        co_return true;
    }
    m_versions.requestArrived();
    if (m_customer == nullptr)
        co_return true;
    const auto decision = m_state.quotas.take(m_customer->name, quotaUnits(), m_received);
    m_quotaTaken = decision.admitted;
    if (decision.admitted)
        co_return true;
    const milliseconds retryAfter = returnAfter(decision.retryAfter);
    logEvent(events::QuotaRefused,
             { { "attempt", m_header.attemptId },
               { "customer", m_customer->name },
               { "units", integerText(quotaUnits()) },
               { "free", integerText(decision.free) },
               { "rate", integerText(decision.rate) },
               { "retry_after_ms", std::to_string(retryAfter.count()) } });
    co_return co_await refuse(refusal(429, retryAfter), "over-quota");
}

milliseconds RequestRelay::returnAfter(milliseconds roomAfter) const
{
    const auto left =
        std::chrono::duration_cast<milliseconds>(m_callerDeadline - m_state.clock.steadyNow());
    return serving::returnTime({ roomAfter, m_route->targetLatency, left },
                               m_state.random.uniform());
}

double RequestRelay::quotaUnits() const
{
    if (!m_customer->countsTokens)
        return 1;
    if (!m_header.prompt)
        return m_customer->defaultTokens;
    return static_cast<double>(m_header.prompt->promptTokens) + m_header.prompt->maxOutputTokens;
}

} // namespace snipestall::gateway
