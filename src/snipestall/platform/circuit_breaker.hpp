#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/random.hpp"
#include "snipestall/platform/http_platform_options.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace snipestall::platform {

/// Circuit breaker of one service (Nygard, Release It!). It protects a service that is down
/// from the load of waiting and retrying callers, and from their burst when it recovers. An open
/// circuit admits one probe at a time, with pauses that are jittered so that the probes of
/// different instances are spread. A recovering circuit limits the calls in flight to one at first
/// and then doubles the limit.
class CircuitBreaker
{
public:
    CircuitBreaker(std::string service, CircuitOptions options, std::uint64_t seed);

    /// Represents one admitted call. A ticket from before the circuit last opened is ignored,
    /// because the failures of calls that were in flight at that time belong to the same outage.
    struct Ticket
    {
        std::uint64_t generation = 0;
    };

    /// Returns nothing if no call may be made now. Each ticket must be passed to recordSuccess() or
    /// recordFailure() when its call ends.
    std::optional<Ticket> admit(SteadyTime now);
    void recordSuccess(Ticket ticket);
    /// `cause` is written to the log if the failure opens the circuit.
    void recordFailure(Ticket ticket, SteadyTime now, const std::string &cause);

    /// False while the circuit is open.
    [[nodiscard]] bool isAvailable() const { return m_phase != Phase::Open; }

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
    /// Number of times that the circuit has opened.
    std::uint64_t m_generation = 0;
    Phase m_phase = Phase::Closed;
    std::size_t m_failuresInRow = 0;
    /// Calls in flight that were admitted in this generation.
    std::size_t m_inFlight = 0;
    std::size_t m_inFlightLimit = 1;
    std::chrono::milliseconds m_pause { 0 };
    SteadyTime m_nextProbe;
};

} // namespace snipestall::platform
