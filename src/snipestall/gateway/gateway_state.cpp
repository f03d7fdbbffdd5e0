#include "snipestall/gateway/gateway_state.hpp"

#include <utility>

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
    , placement(servers, peerLoads, rollouts, limits, slotShares, settings.dataCentre, seed)
    , quotas({ settings.bounds.quotaWindow, settings.bounds.quotaOverrun,
               settings.bounds.quotaTolerance },
             seed)
    , retries(
          { settings.bounds.retryWindow, settings.bounds.retryRatio, settings.bounds.retrySlack })
    , usage(settings.bounds.usageWindow)
    , rollouts(settings.bounds.exposureShare > 0)
    , kvCaches(loop)
    , loopLag(clock.steadyNow())
    , rolloutsKnown(!rollouts.enabled())
{
    if (settings.firstStart)
        retries.startWithFixed();
    else
        quotas.joinFleet(clock.steadyNow());
}

} // namespace snipestall::gateway
