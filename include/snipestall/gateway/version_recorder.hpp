#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace snipestall::serving {
struct ServerState;
}

namespace snipestall::gateway {

struct GatewayState;

/// Counts the attempts of one request for the rollout of its service, if there is one.
class VersionRecorder
{
public:
    enum class Outcome {
        Answered,
        /// The server answered with a failure, or not before the deadline.
        Failed,
        /// The answer was cut off; only what the server does next tells whether it has crashed.
        Lost,
        /// Tells nothing of the server: it did not run the request, or the caller left.
        Unknown,
    };

    explicit VersionRecorder(GatewayState &state);

    /// Sets what the attempts are for.
    void setRequest(const std::string &service, const std::string &route);
    /// The request has arrived and is admitted.
    void requestArrived();
    /// The request is attempted through another instance, which counts the attempt.
    void attemptForwarded() { m_order.reset(); }
    /// An attempt at a server begins. `size`: what the time to its first byte grows with.
    void attemptBegins(const serving::ServerState &server, double size);
    void firstByte(std::chrono::duration<double> took);
    void streamEnded(std::chrono::duration<double> medianPause);
    void attemptEnded(Outcome outcome, serving::ServerState &server);

private:
    GatewayState &m_state;
    std::string m_service;
    std::string m_route;
    /// The order whose counts the present attempt belongs to.
    std::optional<std::int64_t> m_order;
    bool m_isNew = false;
    double m_size = 1;
};

} // namespace snipestall::gateway
