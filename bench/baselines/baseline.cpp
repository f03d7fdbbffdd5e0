#include "bench/baselines/baseline.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace snipestall::policy::baselines {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t MaxAttempts = 4;
constexpr std::size_t MaxQueueLength = 1000;
constexpr Duration DeclineBackoff = 50ms;
constexpr Duration RetryAfter = 1s;

} // namespace

std::unique_ptr<Baseline> Baseline::create(std::unique_ptr<ServerChoice> choice)
{
    return std::unique_ptr<Baseline>(new Baseline(std::move(choice)));
}

Baseline::Baseline(std::unique_ptr<ServerChoice> choice)
    : m_choice(std::move(choice))
{ }

void Baseline::step(Time now, std::span<const Event> events, std::vector<Command> &commands)
{
    m_now = now;
    m_commands = &commands;
    m_nextWake.reset();
    for (const auto &event : events) {
        std::visit([this](const auto &concreteEvent) { handle(concreteEvent); }, event);
    }
    expireWaiting();
    dispatchWaiting();
}

std::vector<PoolSummary> Baseline::summaries(Time) const
{
    return {};
}

void Baseline::handle(const RequestArrived &event)
{
    m_requests[event.request] = { event };
    auto &queue = m_queues[event.service];
    if (queue.size() >= MaxQueueLength) {
        refuse(event.request, RefusalReason::QueueFull);
        return;
    }
    queue.push_back(event.request);
}

void Baseline::handle(const RequestCancelled &event)
{
    const auto running =
        std::ranges::find(m_running, event.request, [](const auto &entry) { return entry.second; });
    if (running != m_running.end()) {
        m_commands->push_back(CancelAttempt { event.request, running->first });
        m_running.erase(running);
    }
    for (auto &[service, queue] : m_queues) {
        std::erase(queue, event.request);
    }
    m_requests.erase(event.request);
}

void Baseline::handle(const AttemptEnded &event)
{
    if (m_running.erase(event.attempt) == 0) {
        return;
    }
    const auto found = m_requests.find(event.request);
    const bool isFinal =
        event.result == AttemptResult::Completed || event.result == AttemptResult::Rejected;
    if (isFinal) {
        m_requests.erase(found);
        return;
    }
    const bool didNotRun =
        event.result == AttemptResult::NotSent || event.result == AttemptResult::Declined;
    if (event.result == AttemptResult::Declined) {
        m_backoffUntil[found->second.arrived.service] = m_now + DeclineBackoff;
    }
    found->second.attempts -= didNotRun ? 1 : 0;
    const bool mayRetry = didNotRun || found->second.arrived.idempotent;
    if (!mayRetry || found->second.attempts >= MaxAttempts) {
        refuse(event.request, RefusalReason::RetriesExhausted);
        return;
    }
    m_queues[found->second.arrived.service].push_front(event.request);
}

void Baseline::handle(const ServerUp &event)
{
    m_servers[event.server] = { event.server, event.service };
}

void Baseline::handle(const ServerLeaving &event)
{
    m_servers.erase(event.server);
}

void Baseline::handle(const ServerGone &event)
{
    m_servers.erase(event.server);
}

void Baseline::handle(const ServerReport &event)
{
    const auto found = m_servers.find(event.server);
    if (found != m_servers.end()) {
        found->second.reportedLoad = event.running + event.queued;
        found->second.sentSinceReport = 0;
    }
}

void Baseline::refuse(RequestHandle handle, RefusalReason reason)
{
    m_commands->push_back(Refuse { handle, reason, RetryAfter });
    m_requests.erase(handle);
}

void Baseline::expireWaiting()
{
    for (auto &[service, queue] : m_queues) {
        std::erase_if(queue, [this](RequestHandle handle) {
            if (m_requests.at(handle).arrived.deadline > m_now) {
                return false;
            }
            refuse(handle, RefusalReason::Expired);
            return true;
        });
    }
}

void Baseline::dispatchWaiting()
{
    for (auto &[service, queue] : m_queues) {
        while (!queue.empty() && m_backoffUntil[service] <= m_now
               && dispatch(m_requests.at(queue.front()))) {
            queue.pop_front();
        }
        if (!queue.empty()) {
            const Time retryAt = std::max(m_backoffUntil[service], m_now + DeclineBackoff);
            m_nextWake = std::min(m_nextWake.value_or(retryAt), retryAt);
        }
    }
}

bool Baseline::dispatch(Request &request)
{
    std::vector<const BaselineServer *> servers;
    for (const auto &[handle, server] : m_servers) {
        if (server.service == request.arrived.service) {
            servers.push_back(&server);
        }
    }
    if (servers.empty()) {
        return false;
    }
    auto &server = m_servers.at(servers[m_choice->choose(request.arrived, servers)]->handle);
    ++server.sentSinceReport;
    ++request.attempts;
    const AttemptHandle attempt { ++m_lastAttempt };
    m_running[attempt] = request.arrived.request;
    m_commands->push_back(Dispatch { request.arrived.request, attempt, server.handle });
    return true;
}

} // namespace snipestall::policy::baselines
