#pragma once

#include "snipestall/gateway/backend_link.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace snipestall::gateway {

/// Idle connections to backend servers, by the server's id.
class BackendPool
{
public:
    /// Null if none can be used.
    BackendLinkPtr take(const std::string &server, SteadyTime now);
    void giveBack(const std::string &server, BackendLinkPtr link);
    /// Closes what has ended or been idle for too long; to be called about once a second.
    void prune(SteadyTime now);
    void drop(const std::string &server);

private:
    /// Connections that one server takes are shared by all instances, so few are kept idle.
    static constexpr std::size_t MostIdlePerServer = 24;

    std::unordered_map<std::string, std::vector<BackendLinkPtr>> m_idle;
};

} // namespace snipestall::gateway
