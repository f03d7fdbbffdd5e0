#include "bench/baselines/round_robin.hpp"

namespace snipestall::policy::baselines {

std::size_t RoundRobin::choose(const RequestArrived &,
                               std::span<const BaselineServer *const> servers)
{
    return m_next++ % servers.size();
}

} // namespace snipestall::policy::baselines
