#pragma once

#include "bench/baselines/server_choice.hpp"

namespace snipestall::policy::baselines {

/// The server with the least load by its last report and what this instance has sent since.
class LeastReportedLoad final : public ServerChoice
{
public:
    std::size_t choose(const RequestArrived &request,
                       std::span<const BaselineServer *const> servers) override;
};

} // namespace snipestall::policy::baselines
