#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/random.hpp"
#include "snipestall/platform/http_platform_options.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace snipestall::platform {

/// Circuit breaker of one service (Nygard, Release It!). Guards against the load that waiting and
/// retrying callers put on a service that is down, and against their burst when it comes back: an
/// open circuit lets one probe through at a time, paced with jitter so that instances spread out,
/// and a recovering one doubles the calls in flight from one upward.
class Circuit
{
public:
    Circuit(std::string service, CircuitOptions options, std::uint64_t seed);

    /// Stands for one admitted call. Calls that were under way when the circuit opened say nothing
    /// new when they fail one after the other, so a ticket from before counts for nothing.
    struct Ticket
    {
        std::uint64_t generation = 0;
    };

    /// Nothing if no call may be made now; each ticket is given back by succeeded() or failed().
    std::optional<Ticket> admit(SteadyTime now);
    void succeeded(Ticket ticket);
    void failed(Ticket ticket, SteadyTime now, const std::string &cause);

    [[nodiscard]] bool answering() const { return m_phase != Phase::Open; }

private:
    enum class Phase {
        Closed,
        Open,
        Recovering,
    };

    void open(SteadyTime now, const std::string &cause);
    void recover();

    std::string m_service;
    CircuitOptions m_options;
    Random m_random;
    std::uint64_t m_generation = 0;
    Phase m_phase = Phase::Closed;
    std::size_t m_failuresInRow = 0;
    /// Calls of this generation.
    std::size_t m_inFlight = 0;
    std::size_t m_allowance = 1;
    std::chrono::milliseconds m_pause { 0 };
    SteadyTime m_nextProbe;
};

} // namespace snipestall::platform
