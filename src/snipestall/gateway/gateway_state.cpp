#include "snipestall/gateway/gateway_state.hpp"

#include "snipestall/gateway/connection_registry.hpp"

#include <string>
#include <utility>
#include <vector>

namespace snipestall::gateway {

GatewayState::GatewayState(boost::asio::io_context &loop, GatewaySettings given, std::uint64_t seed)
    : io(loop)
    , settings(std::move(given))
    , random(seed)
    , incarnation(seed)
    , servers(settings.bounds.drain, settings.serverHeartbeat)
    , limits(settings.instance)
    , slotShares(settings.instance)
    , forwardTargets(settings.dataCentre, seed)
    , streamRecords(random.next())
    , placement(servers, peerLoads, rollouts, limits, slotShares, streamVersions, firstEvents,
                settings.dataCentre, seed)
    , quotas({ settings.bounds.quotaWindow, settings.bounds.quotaOverrun,
               settings.bounds.quotaTolerance },
             seed)
    , retries(
          { settings.bounds.retryWindow, settings.bounds.retryRatio, settings.bounds.retrySlack })
    , usage(settings.bounds.usageWindow)
    , rollouts(settings.bounds.exposureShare > 0)
    , connections(std::make_shared<ConnectionRegistry>(settings.connectionBytes()))
    , kvCaches(loop)
    , loopLag(clock.steadyNow())
    , rolloutsKnown(!rollouts.enabled())
{
    if (settings.firstStart)
        retries.startWithFixed();
    else
        quotas.joinFleet(clock.steadyNow());
}

std::set<serving::StreamOrigin> GatewayState::listedStreamVersions() const
{
    if (!catalogue)
        return {};
    std::set<std::string> services;
    for (const serving::Route &route : catalogue->routes()) {
        if (!route.isStream() || !route.mayRepeat())
            continue;
        for (const serving::RouteTarget &target : route.targets)
            services.insert(target.service);
    }
    std::set<serving::StreamOrigin> versions;
    for (const auto &[id, server] : servers.all()) {
        if (server->takesWork() && services.contains(server->info.service))
            versions.insert({ server->info.service, server->info.version });
    }
    // The servers of an order's version are started about when the order is given.
    for (const serving::RolloutOrder &order : rollouts.activeOrders()) {
        if (services.contains(order.service))
            versions.insert({ order.service, order.version });
    }
    return versions;
}

void GatewayState::updateShares()
{
    if (!catalogue)
        return;
    std::vector<serving::CustomerDemand> demands;
    for (const serving::Customer &customer : catalogue->customers())
        demands.push_back({ customer.name, quotas.askedRate(customer.name, clock.steadyNow()),
                            customer.ratePerSecond });
    shares.update(demands);
}

double GatewayState::unseenWork(const serving::Service &service) const
{
    const double servers = demand.workNow(service.name);
    const double perSecond = service.engine ? servers * demand.readRate(service.name) : servers;
    return unseen.at(service.name, perSecond, clock.steadyNow());
}

} // namespace snipestall::gateway
