#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/wire/endpoint.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace snipestall::peer {

class PeerHandler;

/// gRPC listener for peers. gRPC's threads only transfer bytes; each call is posted to the event
/// loop.
class PeerServer
{
public:
    /// Unavailable if the server can't listen on the address.
    static Result<std::unique_ptr<PeerServer>>
    create(boost::asio::io_context &io, const wire::Endpoint &listen, PeerHandler &handler);
    ~PeerServer();

private:
    struct State;
    explicit PeerServer(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

} // namespace snipestall::peer
