// The part of RequestRelay that handles an attempt whose server is silent, and the repeats of a
// request.

#include "snipestall/gateway/request_relay.hpp"

#include "relay_text.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::gateway {

using wire::Task;

bool RequestRelay::takeRepeat()
{
    // One that was not used may have expired.
    returnRepeat();
    const std::string &service = m_placementRequest.service->name;
    m_repeat = m_state.retries.takeRepeat(service, m_state.clock.steadyNow());
    if (m_repeat)
        return true;
    ++m_state.counters.repeatsRefused;
    logEvent(events::RepeatRefused,
             { { "attempt", m_header.attemptId },
               { "service", service },
               { "sends", std::to_string(m_budget.used().sends) } });
    return false;
}

void RequestRelay::useRepeat(const BackendCall &call)
{
    if (!m_repeat || !call.maybeSent())
        return;
    m_repeat.reset();
    ++m_state.counters.repeats;
}

void RequestRelay::returnRepeat()
{
    if (m_repeat)
        m_state.retries.giveBack(*std::exchange(m_repeat, std::nullopt));
}

void RequestRelay::watchForStall(const serving::ServerStatePtr &server)
{
    if (!m_route->mayRepeat() || m_budget.runsLeft() <= 1 || m_answer.begun())
        return;
    const double rate = m_state.demand.readRate(m_placementRequest.service->name);
    std::chrono::duration<double> predicted { 0 };
    if (rate > 0)
        predicted = std::chrono::duration<double>((m_tokensAhead + m_unreadTokens) / rate);
    // At a full engine a prompt also waits for a slot.
    if (m_predicted)
        predicted = std::max(predicted, m_predicted->total);
    m_stallDecision.reset();
    m_stallHandle = m_state.attempts.add(
        { server, m_sentAt, predicted,
          [this, server](SteadyTime now) { handleStall(*server, now); }, std::nullopt });
}

void RequestRelay::stopStallWatch()
{
    if (m_stallHandle)
        m_state.attempts.remove(*std::exchange(m_stallHandle, std::nullopt));
}

std::optional<RequestRelay::Replacement> RequestRelay::findReplacement(SteadyTime now)
{
    if (auto instance = forwardTarget())
        return Replacement { {}, std::move(instance) };
    serving::PlacementRequest request = m_placementRequest;
    updatePlacement(request);
    auto placed = m_state.placement.choose(request, now);
    // Without a better one, a server is chosen that is to be avoided; it may be silent as well.
    if (!placed || !m_state.servers.usable(*placed->server, now))
        return std::nullopt;
    return Replacement { std::move(*placed), std::nullopt };
}

void RequestRelay::handleStall(const serving::ServerState &server, SteadyTime now)
{
    if (m_replacement || m_callerGone || m_cancelled)
        return;
    // If the stalled attempt is itself a repeat, its own credit is spent and is not given back.
    useRepeat(*m_call);
    // Only a reason to find out, by opening connections, if servers can be reached.
    if (!m_state.reach.cutOff())
        m_state.reach.failed(server.key, now);
    std::optional<Replacement> replacement = findReplacement(now);
    serving::ReplacementMeans means;
    // The run of the stalled attempt is counted when the attempt ends.
    means.runsLeft = std::min(m_budget.runsLeft() - 1, m_budget.sendsLeft());
    means.blocked = m_state.crashes.isBlocked(m_fingerprint, now)
        || (m_header.prompt
            && m_state.crashes.parts().verdict(promptParts(), now)
                != serving::PartCrashWatch::Verdict::Allowed);
    means.timeLeft = m_deadline - now;
    means.repeatLeft = m_state.retries.hasRepeat(m_placementRequest.service->name, now);
    means.serverFound = replacement.has_value();
    if (replacement && replacement->placed.firstEvent)
        means.predicted = replacement->placed.firstEvent->total;
    const serving::StallDecision decision = serving::decideStall(means);
    const bool replaced = decision == serving::StallDecision::Replace && takeRepeat();
    m_state.counters.stalled += m_stallDecision ? 0 : 1;
    // At most one line for each kind of decision in turn.
    if (std::exchange(m_stallDecision, decision) != decision)
        logEvent(events::AttemptStalled,
                 { { "attempt", m_header.attemptId },
                   { "server", server.info.id },
                   { "decision", serving::toString(decision) },
                   { "waited_ms", std::to_string(toMillis(now - m_sentAt)) },
                   { "left_ms", std::to_string(toMillis(m_deadline - now)) },
                   { "predicted_ms", predictedText() } });
    if (!replaced)
        return;
    ++m_state.counters.stalledReplaced;
    m_replacement = std::move(replacement);
    m_call->abort();
}

Task<RequestRelay::AttemptEnd> RequestRelay::attemptReplacement()
{
    Replacement replacement = *std::exchange(m_replacement, std::nullopt);
    if (replacement.instance)
        co_return co_await forward(std::move(*replacement.instance));
    m_forwardUnsent = false;
    co_return co_await attemptAt(std::move(replacement.placed));
}

} // namespace snipestall::gateway
