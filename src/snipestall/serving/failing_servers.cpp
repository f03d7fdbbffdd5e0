#include "snipestall/serving/failing_servers.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

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
    std::unordered_set<std::string> failing;
    if (servers.empty())
        return failing;
    const auto byRate = [](const ServerFailures &a, const ServerFailures &b) {
        return a.rate > b.rate;
    };
    const auto middle = servers.begin() + static_cast<std::ptrdiff_t>(servers.size() / 2);
    std::nth_element(servers.begin(), middle, servers.end(), byRate);
    const double least = std::max(MinFailureRate, middle->rate * MinRatioToMedian);
    const std::size_t most = servers.size() / MinServersPerAvoided;
    // Few of thousands of servers fail, so only these are put in order.
    std::erase_if(servers, [least](const ServerFailures &each) { return each.rate < least; });
    std::sort(servers.begin(), servers.end(), [](const ServerFailures &a, const ServerFailures &b) {
        return a.rate != b.rate ? a.rate > b.rate : a.server < b.server;
    });
    servers.resize(std::min(servers.size(), most));
    for (ServerFailures &each : servers)
        failing.insert(std::move(each.server));
    return failing;
}

} // namespace snipestall::serving
