#include "bench/baselines/prefix_hash.hpp"

#include "snipestall/base/random.hpp"
#include "snipestall/policy/event.hpp"

#include <algorithm>

namespace snipestall::policy::baselines {

std::size_t PrefixHash::choose(const RequestArrived &request,
                               std::span<const BaselineServer *const> servers)
{
    if (request.prefix.empty()) {
        return m_roundRobin.choose(request, servers);
    }
    const auto block = request.prefix.front();
    const auto best = std::ranges::max_element(servers, {}, [block](const BaselineServer *server) {
        return Random(block ^ Random(server->handle.value).next()).next();
    });
    return static_cast<std::size_t>(best - servers.begin());
}

} // namespace snipestall::policy::baselines
