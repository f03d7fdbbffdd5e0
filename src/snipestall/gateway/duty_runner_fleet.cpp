// The part of DutyRunner that orders backend servers.

#include "snipestall/gateway/duty_runner.hpp"

#include "duty_rows.hpp"
#include "platform/store_client.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/wire/signal.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>
#include <vector>

namespace snipestall::gateway {

namespace json = boost::json;
using std::chrono::milliseconds;
using wire::Task;

namespace {

constexpr auto FleetTable = "fleet";
constexpr milliseconds FleetTick { 300 };

} // namespace

Task<void> DutyRunner::fleetLoop()
{
    while (true) {
        m_state.demand.sample(m_state.clock.steadyNow());
        if (holdsLease() && m_state.catalogue && m_state.serverListKnown)
            co_await orderServers();
        co_await wire::sleepFor(FleetTick);
    }
}

std::map<std::string, serving::FleetCount>
DutyRunner::countServers(const std::string &service) const
{
    std::map<std::string, serving::FleetCount> counts;
    for (const auto &[id, server] : m_state.servers.all()) {
        if (server->info.service != service)
            continue;
        serving::FleetCount &count = counts[server->info.dataCentre];
        if (!server->takesWork())
            continue;
        if (server->info.reclaimable)
            ++count.reclaimable;
        else
            ++count.onDemand;
    }
    return counts;
}

Task<bool> DutyRunner::initializePlanner(const std::string &service)
{
    // Servers that start together with the system list themselves one after the other.
    if (m_state.clock.steadyNow() - m_state.serverAddedAt < m_state.settings.serverHeartbeat)
        co_return false;
    std::map<std::string, int> initialFleet;
    for (const auto &[dataCentre, count] : countServers(service))
        initialFleet[dataCentre] = count.onDemand + count.reclaimable;
    if (initialFleet.empty())
        co_return false;
    json::object object;
    for (const auto &[dataCentre, count] : initialFleet)
        object[dataCentre] = count;
    const platform::RowName name { FleetTable, std::string(), service };
    std::vector<platform::RowCondition> conditions { { name, 0 } };
    std::vector<platform::RowWrite> writes { { name, json::serialize(object) } };
    const auto done =
        co_await m_store.write(std::move(conditions), std::move(writes), StoreTimeout);
    if (!done) {
        const auto rows = co_await m_store.read(FleetTable, std::string(), StoreTimeout);
        const platform::StoredRow *row = rows ? findRow(*rows, service) : nullptr;
        if (row == nullptr)
            co_return false;
        initialFleet = decodeNumbers<int>(row->value);
    }
    serving::FleetPlanner planner(*m_state.catalogue->service(service)->scaling, initialFleet);
    if (!done)
        planner.succeed(m_state.clock.steadyNow());
    m_planners.insert_or_assign(service, std::move(planner));
    co_return true;
}

Task<void> DutyRunner::orderServers()
{
    // A new holder does not know the orders of its predecessor, so it sends them again.
    if (m_plannersFencingToken != m_lease.fencingToken())
        m_planners.clear();
    m_plannersFencingToken = m_lease.fencingToken();
    const auto catalogue = m_state.catalogue;
    for (const auto &[name, service] : catalogue->services()) {
        if (!service.scaling)
            continue;
        if (!m_planners.contains(name) && !co_await initializePlanner(name))
            continue;
        serving::FleetPlanner &planner = m_planners.at(name);
        const SteadyTime now = m_state.clock.steadyNow();
        planner.updatePressure(m_state.latency.percentile90(name, now), now);
        const serving::FleetDemand demand { m_state.demand.needed(name),
                                            m_state.demand.neededNow(name),
                                            m_state.counters.attempts > 0 };
        for (const serving::FleetOrder &order : planner.plan(countServers(name), demand, now)) {
            if (!holdsLease())
                co_return;
            platform::ServerOrder wanted { name, order.dataCentre, order.count, order.reclaimable };
            const auto done = co_await m_duties.order(holder(), std::move(wanted), DutyTimeout);
            if (done)
                planner.accepted(order, m_state.clock.steadyNow());
            else
                planner.refused(order, m_state.clock.steadyNow());
            logEvent(done ? events::FleetOrdered : events::FleetOrderFailed,
                     { { "service", name },
                       { "data_centre", order.dataCentre },
                       { "count", std::to_string(order.count) },
                       { "reclaimable", order.reclaimable ? "yes" : "no" },
                       { "scale", std::to_string(planner.scale()) },
                       { "estimate", toString(planner.estimate()) },
                       { "needed", std::to_string(demand.servers) },
                       { "needed_now", std::to_string(demand.currentServers) },
                       { "fence", std::to_string(m_lease.fencingToken()) },
                       { "error", done ? std::string() : done.error().message } });
        }
    }
}

} // namespace snipestall::gateway
