#include "snipestall/gateway/backend_pool.hpp"

#include "snipestall/wire/socket_options.hpp"

#include <utility>

namespace snipestall::gateway {

namespace {

bool usable(BackendConnection &connection, SteadyTime now)
{
    return now < connection.idleUntil && wire::isIdleAndOpen(connection.stream.socket());
}

} // namespace

BackendConnectionPtr BackendPool::take(const std::string &server, SteadyTime now)
{
    const auto found = m_idle.find(server);
    if (found == m_idle.end())
        return nullptr;
    auto &connections = found->second;
    while (!connections.empty()) {
        BackendConnectionPtr connection = std::move(connections.back());
        connections.pop_back();
        if (usable(*connection, now))
            return connection;
    }
    return nullptr;
}

void BackendPool::giveBack(const std::string &server, BackendConnectionPtr connection)
{
    auto &connections = m_idle[server];
    if (connections.size() >= MaxIdlePerServer)
        return;
    connection->stream.expires_never();
    connections.push_back(std::move(connection));
}

void BackendPool::prune(SteadyTime now)
{
    for (auto &[server, connections] : m_idle)
        std::erase_if(connections, [now](BackendConnectionPtr &connection) {
            return !usable(*connection, now);
        });
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

void BackendPool::drop(const std::string &server)
{
    m_idle.erase(server);
}

} // namespace snipestall::gateway
