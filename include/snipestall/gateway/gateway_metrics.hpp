#pragma once

#include <chrono>
#include <memory>
#include <string>

namespace snipestall::gateway {

struct GatewayState;

/// What the gateway shows on its metrics address, in the Prometheus text format.
class GatewayMetrics
{
public:
    GatewayMetrics();
    ~GatewayMetrics();

    /// A request's first byte reached the caller this long after the request had come.
    void firstByte(const std::string &service, std::chrono::nanoseconds waited);
    /// A request has its final answer. `status` 0: the caller left or the answer was broken off.
    void ended(unsigned status, std::chrono::nanoseconds took);
    /// The loop came to its events this late.
    void loopLate(std::chrono::nanoseconds delay);
    /// All metrics, with the totals and levels of this moment.
    [[nodiscard]] std::string page(const GatewayState &state);

private:
    struct Families;

    std::unique_ptr<Families> m_families;
};

} // namespace snipestall::gateway
