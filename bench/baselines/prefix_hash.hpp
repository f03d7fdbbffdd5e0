#pragma once

#include "bench/baselines/round_robin.hpp"

namespace snipestall::policy::baselines {

/// Chooses the server by rendezvous hashing of the first block of the prompt. Requests without a
/// prefix are distributed round robin.
class PrefixHash final : public ServerChoice
{
public:
    std::size_t choose(const RequestArrived &request,
                       std::span<const BaselineServer *const> servers) override;

private:
    RoundRobin m_roundRobin;
};

} // namespace snipestall::policy::baselines
