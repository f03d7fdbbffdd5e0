#include "snipestall/serving/failing_servers.hpp"

#include <algorithm>
#include <cstddef>

namespace snipestall::serving {

namespace {

/// Avoiding a server that fails less often saves few requests, and moves all its load to the
/// others.
constexpr double MinFailureRate = 0.2;
/// Some services fail a part of their requests by design.
constexpr double MinRatioToMedian = 3;
/// At most one of this many servers of a service is avoided.
/// One server in so many may be avoided.
constexpr std::size_t MinServersPerAvoided = 3;

} // namespace

std::unordered_set<std::string> failingServers(std::vector<ServerFailures> servers)
{
    std::sort(servers.begin(), servers.end(), [](const ServerFailures &a, const ServerFailures &b) {
        return a.rate != b.rate ? a.rate > b.rate : a.server < b.server;
    });
    std::unordered_set<std::string> failing;
    if (servers.empty())
        return failing;
    const double median = servers[servers.size() / 2].rate;
    const std::size_t most = servers.size() / MinServersPerAvoided;
    for (std::size_t i = 0; i < most; ++i) {
        if (servers[i].rate < MinFailureRate || servers[i].rate < median * MinRatioToMedian)
            break;
        failing.insert(servers[i].server);
    }
    return failing;
}

} // namespace snipestall::serving
