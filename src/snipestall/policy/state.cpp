#include "snipestall/policy/state.hpp"

#include <chrono>
#include <utility>

namespace snipestall::policy {
namespace {

constexpr double JitterSpread = 0.5;

} // namespace

State::State(std::string homeDataCentre, std::uint64_t seed)
    : dataCentre(std::move(homeDataCentre))
    , random(seed)
{ }

Request *State::findRequest(RequestHandle handle)
{
    const auto it = requests.find(handle);
    return it == requests.end() ? nullptr : &it->second;
}

Request *State::findAttempt(RequestHandle handle, AttemptHandle attempt)
{
    Request *request = findRequest(handle);
    const bool current = request && request->attempt == attempt;
    return current ? request : nullptr;
}

Server *State::findServer(ServerHandle handle)
{
    const auto it = servers.find(handle);
    return it == servers.end() ? nullptr : &it->second;
}

Pool &State::pool(std::string_view service)
{
    const auto it = pools.find(service);
    if (it != pools.end())
        return it->second;
    Pool &pool = pools[std::string(service)];
    pool.service = service;
    pool.settings.service = service;
    return pool;
}

Flow &State::flow(Pool &pool, std::string_view customer)
{
    const auto it = pool.flows.find(customer);
    if (it != pool.flows.end())
        return *it->second;
    auto flow = std::make_unique<Flow>();
    flow->id = static_cast<std::uint32_t>(pool.flows.size());
    flow->leaf.customer = customer;
    flow->leaf.service = pool.service;
    return *pool.flows.emplace(std::string(customer), std::move(flow)).first->second;
}

AttemptHandle State::newAttempt()
{
    return AttemptHandle { ++lastAttempt };
}

Duration State::jittered(Duration base)
{
    const double factor = 1.0 + JitterSpread * random.uniform();
    const std::chrono::duration<double> spread = factor * std::chrono::duration<double>(base);
    return std::chrono::duration_cast<Duration>(spread);
}

} // namespace snipestall::policy
