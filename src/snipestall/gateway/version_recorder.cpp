#include "snipestall/gateway/version_recorder.hpp"

#include "snipestall/gateway/gateway_state.hpp"

#include <utility>

namespace snipestall::gateway {

VersionRecorder::VersionRecorder(GatewayState &state)
    : m_state(state)
{ }

void VersionRecorder::setRequest(const std::string &service, const std::string &route)
{
    m_service = service;
    m_route = route;
}

void VersionRecorder::requestArrived()
{
    if (const serving::RolloutOrder *order = m_state.rollouts.activeOrder(m_service))
        m_state.rolloutCounter.requestArrived(order->id, m_route);
}

void VersionRecorder::attemptBegins(const serving::ServerState &server, double size)
{
    m_order.reset();
    const serving::RolloutOrder *order = m_state.rollouts.activeOrder(m_service);
    if (order == nullptr)
        return;
    m_order = order->id;
    m_size = size;
    m_isNew = m_state.rollouts.isOnTrial(m_service, server.info.version);
    if (m_isNew)
        m_state.rolloutCounter.sentToNewVersion(order->id, m_route);
}

void VersionRecorder::firstByte(std::chrono::duration<double> took)
{
    if (m_order)
        m_state.rolloutCounter.latency(*m_order, m_route, m_isNew, took.count() / m_size);
}

void VersionRecorder::streamEnded(std::chrono::duration<double> medianPause)
{
    if (m_order)
        m_state.rolloutCounter.pause(*m_order, m_route, m_isNew, medianPause.count());
}

void VersionRecorder::attemptEnded(Outcome outcome, serving::ServerState &server)
{
    if (!m_order || outcome == Outcome::Unknown)
        return;
    if (outcome == Outcome::Lost) {
        ++server.unexplainedLosses;
        return;
    }
    const bool good = outcome == Outcome::Answered;
    // The server still runs, so the answers that it cut off were its failures.
    for (int left = good ? std::exchange(server.unexplainedLosses, 0) : 0; left > 0; --left)
        m_state.rolloutCounter.answered(*m_order, m_route, m_isNew, true);
    m_state.rolloutCounter.answered(*m_order, m_route, m_isNew, !good);
    if (m_isNew)
        m_state.rollouts.newVersionAnswered(m_service, good, m_state.clock.steadyNow());
}

} // namespace snipestall::gateway
