#pragma once

#include "snipestall/gateway/backend_connection.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace snipestall::gateway {

/// Idle connections to backend servers, by the id of the server.
class BackendPool
{
public:
    /// Removes and returns a usable connection; null if there is none.
    BackendConnectionPtr take(const std::string &server, SteadyTime now);
    void giveBack(const std::string &server, BackendConnectionPtr connection);
    /// Closes connections that have ended or have been idle for too long. The caller calls it about
    /// once a second.
    void prune(SteadyTime now);
    void drop(const std::string &server);

private:
    /// All instances share the connections that one server accepts, so each keeps only a few idle.
    static constexpr std::size_t MaxIdlePerServer = 24;

    std::unordered_map<std::string, std::vector<BackendConnectionPtr>> m_idle;
};

} // namespace snipestall::gateway
