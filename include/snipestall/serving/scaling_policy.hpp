#pragma once

#include <chrono>
#include <map>
#include <string>

namespace snipestall::serving {

/// The limits within which backend servers of a service may be ordered, and their prices.
struct ScalingPolicy
{
    /// Limits per data centre, for reclaimable and on-demand servers together.
    int minServers = 1;
    int maxServers = 1;
    /// Time from an order until the new server accepts requests.
    std::chrono::milliseconds bootTime { 0 };
    /// Price of a reclaimable server relative to an on-demand server.
    double reclaimablePrice = 1;
    /// Price of a server-second by data centre.
    std::map<std::string, double> dataCentrePrices;
};

} // namespace snipestall::serving
