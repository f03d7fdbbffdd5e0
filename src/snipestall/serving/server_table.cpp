#include "snipestall/serving/server_table.hpp"

#include "snipestall/serving/failing_servers.hpp"
#include "snipestall/serving/peer_loads.hpp"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

namespace snipestall::serving {

namespace {

std::string keyOf(const BackendServer &server)
{
    using std::chrono::milliseconds;
    const auto startedAt =
        std::chrono::duration_cast<milliseconds>(server.startedAt.time_since_epoch());
    return server.id + "@" + std::to_string(startedAt.count());
}

/// The id in the key of an incarnation.
std::string idOf(const std::string &key)
{
    return key.substr(0, key.rfind('@'));
}

} // namespace

PutResult ServerTable::put(const BackendServer &server, SteadyTime now)
{
    const auto departed = m_departed.find(server.id);
    if (departed != m_departed.end()) {
        if (server.startedAt < departed->second)
            return { PutResult::Kind::Ignored, nullptr };
        if (server.startedAt == departed->second)
            return awaitRenewals(server, now);
        m_departed.erase(departed);
        m_returning.erase(server.id);
    }
    const ServerStatePtr known = find(server.id);
    if (known && server.startedAt < known->info.startedAt)
        return { PutResult::Kind::Ignored, nullptr };
    m_expiring.erase(server.id);
    if (known && server.startedAt == known->info.startedAt) {
        update(*known, server, now);
        return { PutResult::Kind::Changed, nullptr };
    }
    ServerStatePtr ended = drop(server.id);
    if (ended)
        m_notices.forget(ended->key);
    const auto state = std::make_shared<ServerState>();
    state->key = keyOf(server);
    // Without a start time this may be another incarnation than the last one under the id.
    if (server.startedAt == WallTime())
        m_notices.forget(state->key);
    state->rest = m_notices.rest(state->key);
    update(*state, server, now);
    m_servers[server.id] = state;
    return { PutResult::Kind::Added, std::move(ended) };
}

void ServerTable::update(ServerState &state, const BackendServer &server, SteadyTime now)
{
    // Leaving is final for an incarnation, so an older copy of the entry does not change it, nor
    // one that comes back after it has lapsed.
    if (server.leaving)
        m_notices.setLeaving(state.key, ServerNotices::LeavingSource::Entry, now);
    state.info = server;
    state.info.leaving = m_notices.isLeaving(state.key);
    // A server that leaves as planned lets its requests end; a reclaimed one cannot.
    if (server.leavesIn)
        state.leavesAt = now + *server.leavesIn;
    else if (server.leaving && server.reclaimable && !state.leavesAt)
        state.leavesAt = now + m_drain;
}

bool ServerTable::mayReturnTo(const ServerState &server, SteadyTime now) const
{
    if (server.departed || (server.leavesAt && now >= *server.leavesAt))
        return false;
    const auto since = m_notices.leavingSince(server.key);
    return !since || now - *since < m_drain - NoticeLag;
}

PutResult ServerTable::awaitRenewals(const BackendServer &server, SteadyTime now)
{
    if (server.leaving) {
        m_returning.erase(server.id);
        return { PutResult::Kind::Ignored, nullptr };
    }
    const auto [found, added] = m_returning.try_emplace(server.id);
    if (added)
        found->second.readmitAt = now + m_readmitDelay;
    found->second.info = server;
    return { PutResult::Kind::Returning, nullptr };
}

std::vector<ServerStatePtr> ServerTable::readmit(SteadyTime now)
{
    std::vector<BackendServer> ready;
    for (const auto &[id, returning] : m_returning) {
        if (now >= returning.readmitAt)
            ready.push_back(returning.info);
    }
    std::vector<ServerStatePtr> readmitted;
    readmitted.reserve(ready.size());
    for (const BackendServer &server : ready) {
        m_departed.erase(server.id);
        m_returning.erase(server.id);
        put(server, now);
        readmitted.push_back(find(server.id));
    }
    return readmitted;
}

ServerStatePtr ServerTable::remove(const std::string &id)
{
    m_returning.erase(id);
    const ServerStatePtr known = drop(id);
    if (m_departed.size() >= MaxDeparted)
        m_departed.clear();
    WallTime &lastStart = m_departed[id];
    if (known)
        lastStart = std::max(lastStart, known->info.startedAt);
    return known;
}

ServerStatePtr ServerTable::drop(const std::string &id)
{
    m_expiring.erase(id);
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
        return nullptr;
    ServerStatePtr state = found->second;
    state->departed = true;
    m_servers.erase(found);
    return state;
}

void ServerTable::markExpired(const std::string &id, SteadyTime until)
{
    m_returning.erase(id);
    if (m_servers.contains(id))
        m_expiring.try_emplace(id, until);
}

std::vector<ServerStatePtr> ServerTable::removeExpired(SteadyTime now)
{
    std::vector<std::string> due;
    for (const auto &[id, until] : m_expiring) {
        if (now >= until)
            due.push_back(id);
    }
    std::vector<ServerStatePtr> gone;
    gone.reserve(due.size());
    for (const std::string &id : due)
        gone.push_back(drop(id));
    return gone;
}

void ServerTable::compareServers(const PeerLoads &peers, SteadyTime now)
{
    std::unordered_map<std::string_view, std::vector<ServerState *>> services;
    for (const auto &[id, server] : m_servers) {
        ServerOutcomes outcomes = server->outcomes.at(now);
        outcomes += peers.at(server->key).outcomes;
        server->sharedFailureRate = outcomes.failureRate();
        if (const auto pause = outcomes.averagePace())
            server->speed.setPause(*pause);
        services[server->info.service].push_back(server.get());
    }
    for (const auto &[service, servers] : services) {
        compareSpeeds(servers);
        compareFailures(servers);
    }
}

void ServerTable::compareFailures(const std::vector<ServerState *> &servers)
{
    std::vector<ServerFailures> failures;
    failures.reserve(servers.size());
    for (const ServerState *server : servers) {
        if (server->takesWork())
            failures.push_back({ server->info.id, server->sharedFailureRate });
    }
    const auto failing = failingServers(std::move(failures));
    for (ServerState *server : servers)
        server->failing = failing.contains(server->info.id);
}

void ServerTable::compareSpeeds(const std::vector<ServerState *> &servers)
{
    std::vector<std::chrono::duration<double>> pauses;
    for (const ServerState *server : servers) {
        if (const auto pause = server->speed.pause())
            pauses.push_back(*pause);
    }
    if (pauses.empty())
        return;
    const auto middle = pauses.begin() + static_cast<std::ptrdiff_t>(pauses.size() / 2);
    std::nth_element(pauses.begin(), middle, pauses.end());
    for (ServerState *server : servers)
        server->speed.compareWith(*middle);
}

void ServerTable::lost(ServerState &server, SteadyTime now)
{
    server.health.lost(now);
    m_dataCentres[server.info.dataCentre].lost(server.key, now);
}

void ServerTable::heard(ServerState &server, SteadyTime now)
{
    server.lastByteAt = now;
    server.health.heard();
}

void ServerTable::failed(ServerState &server, SteadyTime now)
{
    server.health.failed();
    server.outcomes.failed(now);
}

void ServerTable::answered(ServerState &server, SteadyTime now)
{
    server.health.answered();
    server.outcomes.answered(now);
    m_dataCentres[server.info.dataCentre].answered();
}

bool ServerTable::askedForRest(ServerState &server, SteadyTime until, SteadyTime now)
{
    const auto known = m_notices.rest(server.key);
    server.rest = m_notices.extendRest(server.key, until, now);
    // The entry may have lapsed and come back since the request was sent.
    if (const auto current = find(server.info.id); current && current->key == server.key)
        current->rest = server.rest;
    return !known;
}

void ServerTable::requestSent(ServerState &server, SteadyTime now)
{
    if (server.rest)
        server.rest->requestSent(now);
}

void ServerTable::requestAccepted(ServerState &server, SteadyTime sentAt)
{
    if (server.rest)
        server.rest->requestAccepted(sentAt);
}

bool ServerTable::saidItLeaves(const std::string &server, SteadyTime saidAt)
{
    const bool isNew = m_notices.setLeaving(server, ServerNotices::LeavingSource::Answer, saidAt);
    if (const auto current = find(idOf(server)); current && current->key == server)
        current->info.leaving = true;
    return isNew;
}

bool ServerTable::usable(const ServerState &server, SteadyTime now) const
{
    if (server.failing || !server.health.usable(now))
        return false;
    const auto found = m_dataCentres.find(server.info.dataCentre);
    return found == m_dataCentres.end() || found->second.usable(now);
}

ServerStatePtr ServerTable::find(const std::string &id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : found->second;
}

std::vector<ServerStatePtr> ServerTable::ofService(const std::string &service) const
{
    std::vector<ServerStatePtr> found;
    for (const auto &[id, state] : m_servers) {
        if (state->info.service == service)
            found.push_back(state);
    }
    return found;
}

} // namespace snipestall::serving
