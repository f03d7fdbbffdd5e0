#include "snipestall/gateway/reach_prober.hpp"

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/gateway/server_probe.hpp"

#include <utility>
#include <vector>

namespace snipestall::gateway {

using std::chrono::milliseconds;
using wire::Task;

namespace {

/// Pause between two probes while no server is reached, which is also how long callers are
/// forwarded after the path is back.
constexpr milliseconds CutOffPause { 250 };
/// A server of the same region accepts a connection within a few round trips.
constexpr milliseconds ConnectTimeout { 200 };
constexpr int ServersPerProbe = 2;

} // namespace

bool ReachProber::isDue()
{
    const SteadyTime now = m_state.clock.steadyNow();
    return now >= m_nextProbe && m_state.reach.suspected(m_state.servers.all().size(), now);
}

Task<void> ReachProber::probe()
{
    const bool accepted = co_await anyServerAccepts();
    if (accepted)
        handleReached();
    else
        handleCutOff();
    m_nextProbe = m_state.clock.steadyNow() + CutOffPause;
}

Task<bool> ReachProber::anyServerAccepts()
{
    std::vector<serving::ServerStatePtr> servers;
    for (const auto &[id, server] : m_state.servers.all()) {
        if (server->takesWork())
            servers.push_back(server);
    }
    // Without a server to be asked nothing speaks for a cut.
    if (servers.empty())
        co_return true;
    for (int i = 0; i < ServersPerProbe && !servers.empty(); ++i) {
        const auto chosen = static_cast<std::ptrdiff_t>(m_state.random.below(servers.size()));
        const wire::Endpoint address = servers[static_cast<std::size_t>(chosen)]->info.address;
        servers.erase(servers.begin() + chosen);
        const bool accepts = co_await acceptsConnections(m_state.io, address, ConnectTimeout);
        if (accepts)
            co_return true;
    }
    co_return false;
}

void ReachProber::handleCutOff()
{
    if (!m_state.reach.confirm())
        return;
    logEvent(events::ServersUnreachable,
             { { "servers", std::to_string(m_state.servers.all().size()) } });
    // Idle connections may hang when they are used after the path is back.
    for (const auto &[id, server] : m_state.servers.all())
        m_state.backends.drop(server->key);
}

void ReachProber::handleReached()
{
    const bool wasCutOff = m_state.reach.cutOff();
    m_state.reach.reached();
    if (wasCutOff)
        logEvent(events::ServersReachable, {});
}

} // namespace snipestall::gateway
