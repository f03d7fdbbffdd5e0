#include "snipestall/platform/circuit.hpp"

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::platform {

Circuit::Circuit(std::string service, CircuitOptions options, std::uint64_t seed)
    : m_service(std::move(service))
    , m_options(options)
    , m_random(seed)
{ }

std::optional<Circuit::Ticket> Circuit::admit(SteadyTime now)
{
    const bool mayProbe = m_inFlight == 0 && now >= m_nextProbe;
    if (m_phase == Phase::Open && !mayProbe)
        return std::nullopt;
    if (m_phase == Phase::Recovering && m_inFlight >= m_allowance)
        return std::nullopt;
    ++m_inFlight;
    return Ticket { m_generation };
}

void Circuit::succeeded(Ticket ticket)
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
    m_allowance *= 2;
    if (m_allowance >= m_options.fullAllowance)
        m_phase = Phase::Closed;
}

void Circuit::failed(Ticket ticket, SteadyTime now, const std::string &cause)
{
    if (ticket.generation != m_generation)
        return;
    --m_inFlight;
    ++m_failuresInRow;
    // A recovering service that fails again gets no second chance of three calls.
    if (m_phase != Phase::Closed || m_failuresInRow >= m_options.failuresToOpen)
        open(now, cause);
}

void Circuit::open(SteadyTime now, const std::string &cause)
{
    if (m_phase != Phase::Open)
        logEvent(events::PlatformUnavailable, { { "service", m_service }, { "cause", cause } });
    const bool again = m_phase != Phase::Closed;
    m_phase = Phase::Open;
    ++m_generation;
    m_inFlight = 0;
    m_pause = again ? std::min(m_pause * 2, m_options.longestPause) : m_options.firstPause;
    // Half the pause is fixed, half random: probes of many instances spread over the pause.
    const auto half = static_cast<std::uint64_t>(m_pause.count()) / 2;
    const auto jitter = static_cast<std::int64_t>(m_random.below(half + 1));
    m_nextProbe = now + m_pause / 2 + std::chrono::milliseconds(jitter);
}

void Circuit::recover()
{
    m_phase = Phase::Recovering;
    m_allowance = 1;
    logEvent(events::PlatformRecovered, { { "service", m_service } });
}

} // namespace snipestall::platform
