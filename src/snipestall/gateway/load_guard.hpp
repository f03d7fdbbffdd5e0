#pragma once

#include "snipestall/serving/server_table.hpp"

#include <cstddef>
#include <utility>

namespace snipestall::gateway {

/// What one request adds to the load of a backend server.
struct RequestLoad
{
    /// Prompt tokens that the engine has to read; 0 for other requests.
    double unreadTokens = 0;
    double heldTokens = 0;
    /// Band of urgency of a prompt.
    std::size_t band = 0;
};

/// Counts one request in the load of a backend server for as long as the guard exists.
class LoadGuard
{
public:
    LoadGuard(serving::ServerStatePtr server, RequestLoad load)
        : m_server(std::move(server))
        , m_load(load)
    {
        serving::ServerLoad &own = m_server->own;
        ++own.inFlight;
        own.pendingTokens += m_load.unreadTokens;
        own.heldTokens += m_load.heldTokens;
        ++own.waiting.at(m_load.band).count;
        own.waiting.at(m_load.band).tokens += m_load.unreadTokens;
    }

    LoadGuard(const LoadGuard &) = delete;
    LoadGuard &operator=(const LoadGuard &) = delete;

    ~LoadGuard()
    {
        --m_server->own.inFlight;
        m_server->own.heldTokens -= m_load.heldTokens;
        promptRead();
    }

    /// The first event has arrived: the request waits no longer.
    void promptRead()
    {
        if (!std::exchange(m_waiting, false))
            return;
        serving::ServerLoad &own = m_server->own;
        own.pendingTokens -= m_load.unreadTokens;
        --own.waiting.at(m_load.band).count;
        own.waiting.at(m_load.band).tokens -= m_load.unreadTokens;
    }

private:
    serving::ServerStatePtr m_server;
    RequestLoad m_load;
    bool m_waiting = true;
};

} // namespace snipestall::gateway
