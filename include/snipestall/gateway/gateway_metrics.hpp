#pragma once

#include <chrono>
#include <memory>
#include <string>

namespace snipestall::gateway {

struct GatewayState;

/// Metrics that the gateway serves on its metrics address in the Prometheus text format.
class GatewayMetrics
{
public:
    GatewayMetrics();
    ~GatewayMetrics();

    /// Records the time from the arrival of a request to the first byte of its answer to the
    /// caller.
    void recordFirstByte(const std::string &service, std::chrono::nanoseconds waited);
    /// Records the observed time to the first event of a prompt divided by the predicted one.
    void recordPrediction(const std::string &service, double ratio);
    /// Records the end of a request. `status` is 0 if the caller left or the answer was cut off.
    void recordRequestEnd(unsigned status, std::chrono::nanoseconds took);
    /// Records by how much the I/O loop was late.
    void recordLoopDelay(std::chrono::nanoseconds delay);
    /// Returns all metrics as text, with the current totals and gauges.
    [[nodiscard]] std::string render(const GatewayState &state);

private:
    struct Families;

    std::unique_ptr<Families> m_families;
};

} // namespace snipestall::gateway
