#pragma once

#include "snipestall/serving/server_table.hpp"

#include <utility>

namespace snipestall::gateway {

/// Counts one request at a backend server for as long as it lives.
class LoadClaim
{
public:
    LoadClaim(serving::ServerStatePtr server, double pendingTokens, double heldTokens)
        : m_server(std::move(server))
        , m_pendingTokens(pendingTokens)
        , m_heldTokens(heldTokens)
    {
        ++m_server->own.inFlight;
        m_server->own.pendingTokens += m_pendingTokens;
        m_server->own.heldTokens += m_heldTokens;
    }

    LoadClaim(const LoadClaim &) = delete;
    LoadClaim &operator=(const LoadClaim &) = delete;

    ~LoadClaim()
    {
        --m_server->own.inFlight;
        m_server->own.heldTokens -= m_heldTokens;
        promptRead();
    }

    /// The first token came: the prompt waits no longer.
    void promptRead() { m_server->own.pendingTokens -= std::exchange(m_pendingTokens, 0); }

private:
    serving::ServerStatePtr m_server;
    double m_pendingTokens;
    double m_heldTokens;
};

} // namespace snipestall::gateway
