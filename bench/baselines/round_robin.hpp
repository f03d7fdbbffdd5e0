#pragma once

#include "bench/baselines/server_choice.hpp"

namespace snipestall::policy::baselines {

/// Chooses the servers in turn.
class RoundRobin final : public ServerChoice
{
public:
    std::size_t choose(const RequestArrived &request,
                       std::span<const BaselineServer *const> servers) override;

private:
    std::size_t m_next = 0;
};

} // namespace snipestall::policy::baselines
