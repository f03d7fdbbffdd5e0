#include "snipestall/platform/circuit_breaker.hpp"

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::platform {

CircuitBreaker::CircuitBreaker(std::string service, CircuitOptions options, std::uint64_t seed)
    : m_service(std::move(service))
    , m_options(options)
    , m_random(seed)
{ }

std::optional<CircuitBreaker::Ticket> CircuitBreaker::admit(SteadyTime now)
{
    const bool mayProbe = m_inFlight == 0 && now >= m_nextProbe;
    if (m_phase == Phase::Open && !mayProbe)
        return std::nullopt;
    if (m_phase == Phase::Recovering && m_inFlight >= m_inFlightLimit)
        return std::nullopt;
    ++m_inFlight;
    return Ticket { m_generation };
}

void CircuitBreaker::recordSuccess(Ticket ticket)
{
    if (ticket.generation != m_generation)
        return;
    --m_inFlight;
    m_failuresInRow = 0;
    if (m_phase == Phase::Closed)
        return;
    if (m_phase == Phase::Open) {
        recover();
        return;
    }
    m_inFlightLimit *= 2;
    if (m_inFlightLimit >= m_options.inFlightLimitToClose)
        m_phase = Phase::Closed;
}

void CircuitBreaker::recordFailure(Ticket ticket, SteadyTime now, const std::string &cause)
{
    if (ticket.generation != m_generation)
        return;
    --m_inFlight;
    ++m_failuresInRow;
    // While the circuit is recovering, or probed while open, one failure opens it again. The
    // allowance of `failuresToOpen` (3) failures applies only while it is closed.
    if (m_phase != Phase::Closed || m_failuresInRow >= m_options.failuresToOpen)
        open(now, cause);
}

void CircuitBreaker::open(SteadyTime now, const std::string &cause)
{
    if (m_phase != Phase::Open)
        logEvent(events::PlatformUnavailable, { { "service", m_service }, { "cause", cause } });
    const bool isReopened = m_phase != Phase::Closed;
    m_phase = Phase::Open;
    ++m_generation;
    m_inFlight = 0;
    m_pause = isReopened ? std::min(m_pause * 2, m_options.longestPause) : m_options.firstPause;
    // Half of the pause is fixed and half is random, so that the probes of many instances are
    // spread over the pause.
    const auto half = static_cast<std::uint64_t>(m_pause.count()) / 2;
    const auto jitter = static_cast<std::int64_t>(m_random.below(half + 1));
    m_nextProbe = now + m_pause / 2 + std::chrono::milliseconds(jitter);
}

void CircuitBreaker::recover()
{
    m_phase = Phase::Recovering;
    m_inFlightLimit = 1;
    logEvent(events::PlatformRecovered, { { "service", m_service } });
}

} // namespace snipestall::platform
