#pragma once

#include "bench/baselines/server_choice.hpp"

namespace snipestall::policy::baselines {

/// Chooses the server with the smallest sum of the load in its last report and the requests that
/// this instance has sent since.
class LeastReportedLoad final : public ServerChoice
{
public:
    std::size_t choose(const RequestArrived &request,
                       std::span<const BaselineServer *const> servers) override;
};

} // namespace snipestall::policy::baselines
