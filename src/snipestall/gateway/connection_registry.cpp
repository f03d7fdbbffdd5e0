#include "snipestall/gateway/connection_registry.hpp"

#include "relay_text.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/caller_connection.hpp"
#include "snipestall/wire/socket_options.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <utility>

namespace snipestall::gateway {

namespace {

/// Part of what all connections may hold that unread bytes may take besides.
constexpr std::size_t UnreadDivisor = 2;

/// Beyond this part of the memory, clients that have left get nothing more.
constexpr std::size_t ScarceDivisor = 2;
/// Making room looks at all connections.
constexpr std::chrono::milliseconds MakeRoomInterval { 10 };
/// Requests that wait for memory look for it again and again.
constexpr std::size_t MaxWaiting = 64;

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
    // Failure: a crowd has left, and what it had sent before takes the memory of those who still
    // wait, as the loop comes to the ends of the crowd's connections only behind their bytes.
    const bool scarce = m_ledger.held() > m_ledger.limit() / ScarceDivisor;
    if (scarce && bytes > 0 && m_connections.at(id)->hasDisconnected())
        return false;
    if (m_ledger.hold(id, bytes))
        return true;
    if (now() - m_madeRoomAt >= MakeRoomInterval) {
        m_madeRoomAt = now();
        makeRoom(id, bytes);
    }
    return m_ledger.hold(id, bytes);
}

void ConnectionRegistry::arrived(Id id, std::size_t bytes)
{
    m_ledger.arrived(id, bytes, now());
}

void ConnectionRegistry::makeRoom(Id id, std::size_t bytes)
{
    closeLeft();
    if (!m_ledger.hold(id, bytes))
        giveUp(m_ledger.closeForMemory(id, bytes, now()), Shortage::Memory);
}

std::shared_ptr<bool> ConnectionRegistry::beginWaiting()
{
    if (m_waiting.size() >= MaxWaiting) {
        *m_waiting.front() = false;
        m_waiting.pop_front();
    }
    return m_waiting.emplace_back(std::make_shared<bool>(true));
}

// Failure: those who need little take what is freed, again and again, and one that needs more waits
// in vain.
bool ConnectionRegistry::holdInTurn(const std::shared_ptr<bool> &place, Id id, std::size_t bytes)
{
    // Bodies of ordinary size don't wait for the room that a large one needs.
    if (bytes <= serving::ConnectionLedger::OrdinaryBytes)
        return hold(id, bytes);
    if (m_waiting.empty() || m_waiting.front() != place)
        return false;
    if (!m_ledger.hold(id, bytes))
        makeRoom(id, bytes);
    return m_ledger.hold(id, bytes);
}

void ConnectionRegistry::closeLeft()
{
    for (const Id id : m_ledger.unfinishedHolders()) {
        CallerConnection &connection = *m_connections.at(id);
        if (!connection.hasDisconnected())
            continue;
        m_ledger.release(id);
        connection.close();
    }
}

void ConnectionRegistry::giveUpForOthers()
{
    giveUp(m_ledger.closeForConnections(now()), Shortage::Descriptors);
}

void ConnectionRegistry::limitUnread()
{
    // Asking the kernel takes a call for each connection; few of them can't hold that much.
    const std::size_t most = m_ledger.limit() / UnreadDivisor;
    if (m_connections.size() * wire::MaxUnreadBytes <= most)
        return;
    std::size_t all = 0;
    std::vector<std::pair<std::size_t, Id>> unread;
    for (const auto &[id, connection] : m_connections) {
        const serving::ConnectionStage stage = m_ledger.stage(id);
        // What arrives is read at once.
        if (stage == serving::ConnectionStage::Idle || stage == serving::ConnectionStage::Arriving)
            continue;
        const std::size_t bytes = connection->unreadBytes();
        all += bytes;
        unread.emplace_back(bytes, id);
    }
    std::ranges::sort(unread, std::greater<>());
    std::vector<Id> closed;
    for (std::size_t i = 0; all > most && i < unread.size(); ++i) {
        all -= unread[i].first;
        closed.push_back(unread[i].second);
    }
    giveUp(closed, Shortage::Memory);
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
