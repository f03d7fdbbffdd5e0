#pragma once

#include <chrono>
#include <map>
#include <string>

namespace snipestall::serving {

/// Within which bounds, and at what prices, backend servers of a service may be ordered.
struct ScalingPolicy
{
    /// Per data centre, reclaimable and on-demand servers together.
    int least = 1;
    int most = 1;
    /// From an order until the new server serves.
    std::chrono::milliseconds bootTime { 0 };
    /// Price of a reclaimable server as a part of an on-demand one's.
    double reclaimablePrice = 1;
    /// Price of a server-second in each data centre.
    std::map<std::string, double> dataCentrePrices;
};

} // namespace snipestall::serving
