#pragma once

#include "snipestall/serving/server_table.hpp"

#include <utility>

namespace snipestall::gateway {

/// Counts one request in the load of a backend server for as long as the guard exists.
class LoadGuard
{
public:
    LoadGuard(serving::ServerStatePtr server, double pendingTokens, double heldTokens)
        : m_server(std::move(server))
        , m_pendingTokens(pendingTokens)
        , m_heldTokens(heldTokens)
    {
        ++m_server->own.inFlight;
        m_server->own.pendingTokens += m_pendingTokens;
        m_server->own.heldTokens += m_heldTokens;
    }

    LoadGuard(const LoadGuard &) = delete;
    LoadGuard &operator=(const LoadGuard &) = delete;

    ~LoadGuard()
    {
        --m_server->own.inFlight;
        m_server->own.heldTokens -= m_heldTokens;
        promptRead();
    }

    /// Removes the prompt from the pending tokens when the first token has arrived.
    void promptRead() { m_server->own.pendingTokens -= std::exchange(m_pendingTokens, 0); }

private:
    serving::ServerStatePtr m_server;
    double m_pendingTokens;
    double m_heldTokens;
};

} // namespace snipestall::gateway
