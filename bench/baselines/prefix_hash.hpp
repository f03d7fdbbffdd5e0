#pragma once

#include "bench/baselines/round_robin.hpp"

namespace snipestall::policy::baselines {

/// The first block of the prompt alone picks the server, by rendezvous; what has no prefix goes
/// round robin.
class PrefixHash final : public ServerChoice
{
public:
    std::size_t choose(const RequestArrived &request,
                       std::span<const BaselineServer *const> servers) override;

private:
    RoundRobin m_withoutPrefix;
};

} // namespace snipestall::policy::baselines
