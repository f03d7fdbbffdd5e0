#include "snipestall/gateway/connection_registry.hpp"

#include "relay_text.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/caller_connection.hpp"

#include <string>

namespace snipestall::gateway {

namespace {

SteadyTime now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

ConnectionRegistry::ConnectionRegistry(std::size_t bytes)
    : m_ledger(bytes)
{ }

ConnectionRegistry::Id ConnectionRegistry::add(CallerConnection &connection)
{
    const Id id = m_ledger.open(now());
    m_connections.emplace(id, &connection);
    return id;
}

void ConnectionRegistry::remove(Id id)
{
    m_ledger.close(id);
    m_connections.erase(id);
}

void ConnectionRegistry::enter(Id id, serving::ConnectionStage stage)
{
    m_ledger.enter(id, stage, now());
}

bool ConnectionRegistry::hold(Id id, std::size_t bytes)
{
    if (m_ledger.hold(id, bytes, now()))
        return true;
    giveUp(m_ledger.closeForMemory(id, bytes, now()), Shortage::Memory);
    return m_ledger.hold(id, bytes, now());
}

void ConnectionRegistry::giveUpForOthers()
{
    giveUp(m_ledger.closeForConnections(now()), Shortage::Descriptors);
}

void ConnectionRegistry::giveUp(const std::vector<Id> &ids, Shortage shortage)
{
    if (ids.empty())
        return;
    const Id first = ids.front();
    logEvent(events::ConnectionsGivenUp,
             { { "shortage", shortage == Shortage::Memory ? "memory" : "descriptors" },
               { "connections", std::to_string(ids.size()) },
               { "stage", serving::toString(m_ledger.stage(first)) },
               { "stalled_ms", std::to_string(toMillis(m_ledger.stalledFor(first, now()))) },
               { "held_bytes", std::to_string(m_ledger.held()) },
               { "limit_bytes", std::to_string(m_ledger.limit()) },
               { "open", std::to_string(m_ledger.connections()) } });
    m_givenUp += ids.size();
    for (const Id id : ids)
        m_connections.at(id)->giveUp(m_ledger.stage(id), shortage);
}

} // namespace snipestall::gateway
