#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/wire/endpoint.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace snipestall::peer {

class PeerHandler;

/// gRPC listener for peers. gRPC's own threads only carry bytes: each call is posted to the loop.
class PeerServer
{
public:
    /// Unavailable if the address can't be listened on.
    static Result<std::unique_ptr<PeerServer>>
    create(boost::asio::io_context &io, const wire::Endpoint &listen, PeerHandler &handler);
    ~PeerServer();

private:
    struct State;
    explicit PeerServer(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

} // namespace snipestall::peer
