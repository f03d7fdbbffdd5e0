// The part of RequestRelay that ties a stream to the service and the software version that began
// it.

#include "snipestall/gateway/request_relay.hpp"

#include "forward_header.hpp"
#include "relay_text.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/gateway/origin_resolver.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::gateway {

using std::chrono::milliseconds;
using wire::Task;

namespace {

std::uint64_t keyOf(const serving::Customer *customer, const std::string &attempt)
{
    return serving::StreamRecords::keyOf(customer == nullptr ? std::string() : customer->name,
                                         attempt);
}

} // namespace

Task<const char *> RequestRelay::bindToOrigin()
{
    ResolvedOrigin resolved;
    if (wasForwarded()) {
        resolved.origin = forwardedOrigin(m_caller->request());
        resolved.source = "forwarded";
    }
    if (!resolved.origin) {
        std::optional<std::uint64_t> key;
        if (!m_header.resumes.empty())
            key = keyOf(m_customer, m_header.resumes);
        resolved = co_await m_state.originResolver->resolve(key);
    }
    if (!resolved.origin) {
        ++m_state.counters.resumesUnknown;
        logNotResumed(resolved.source);
        co_return "unknown-origin";
    }
    m_answer.resume(*m_header.resumeAfter, resolved.origin);
    if (!setOrigin(*resolved.origin)) {
        ++m_state.counters.resumesWithoutServer;
        logNotResumed("service-not-on-route");
        co_return "no-server-of-version";
    }
    if (resolved.source == StoreGroupsSource)
        ++m_state.counters.resumesFromStore;
    logResumed(resolved.source, resolved.age);
    co_return nullptr;
}

bool RequestRelay::setOrigin(const serving::StreamOrigin &origin)
{
    const bool onRoute =
        std::any_of(m_route->targets.begin(), m_route->targets.end(),
                    [&origin](const serving::RouteTarget &target) {
                        return target.service == origin.service && target.weight > 0;
                    });
    const serving::Service *service = m_catalogue->service(origin.service);
    if (!onRoute || service == nullptr)
        return false;
    m_placementRequest.service = service;
    m_placementRequest.origin = origin;
    return true;
}

void RequestRelay::recordOrigin()
{
    if (m_originRecorded || !m_placementRequest.beginsResumable || !m_answer.origin())
        return;
    m_originRecorded = true;
    if (m_header.resumeAfter)
        ++m_state.counters.resumed;
    const SteadyTime now = m_state.clock.steadyNow();
    // A caller takes a stream up within the time that it waits for the answer.
    const auto wait = std::chrono::ceil<milliseconds>(m_callerDeadline - now);
    const milliseconds kept = std::max({ wait, m_route->timeout, milliseconds(0) });
    m_state.streamRecords.add({ keyOf(m_customer, m_header.attemptId), *m_answer.origin(), kept },
                              now);
    // The instance that began the stream may have ended, so this one passes its record on.
    if (!m_header.resumes.empty() && m_header.resumeAfter)
        m_state.streamRecords.add({ keyOf(m_customer, m_header.resumes), *m_answer.origin(), kept },
                                  now);
}

void RequestRelay::logResumed(const std::string &source, milliseconds age) const
{
    logEvent(events::StreamResumed,
             { { "attempt", m_header.attemptId },
               { "resumes", m_header.resumes },
               { "after_event", std::to_string(m_answer.lastEvent().value_or(0)) },
               { "service", m_answer.origin()->service },
               { "software", m_answer.origin()->version },
               { "source", source },
               { "age_ms", std::to_string(age.count()) } });
}

void RequestRelay::logNotResumed(const std::string &reason) const
{
    const serving::StreamOrigin origin = m_answer.origin().value_or(serving::StreamOrigin {});
    logEvent(events::StreamNotResumed,
             { { "attempt", m_header.attemptId },
               { "resumes", m_header.resumes },
               { "after_event",
                 m_header.resumeAfter ? std::to_string(*m_header.resumeAfter) : std::string() },
               { "service", origin.service },
               { "software", origin.version },
               { "reason", reason } });
}

Task<void> RequestRelay::refuseRest()
{
    ++m_state.counters.resumesWithoutServer;
    logNotResumed("no-server-of-version");
    co_await answer(refusal(503, RetryAfterNoServer), "no-server-of-version");
}

} // namespace snipestall::gateway
