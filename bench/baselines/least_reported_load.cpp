#include "bench/baselines/least_reported_load.hpp"

#include <algorithm>

namespace snipestall::policy::baselines {

std::size_t LeastReportedLoad::choose(const RequestArrived &,
                                      std::span<const BaselineServer *const> servers)
{
    const auto least = std::ranges::min_element(servers, {}, [](const BaselineServer *server) {
        return server->reportedLoad + server->sentSinceReport;
    });
    return static_cast<std::size_t>(least - servers.begin());
}

} // namespace snipestall::policy::baselines
