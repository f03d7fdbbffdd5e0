#pragma once

#include "snipestall/base/clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

namespace snipestall::gateway {

/// One connection to a backend server.
struct BackendConnection
{
    explicit BackendConnection(boost::asio::io_context &io)
        : stream(io)
    { }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    /// Time until which the connection may stay idle; the server closes it later on.
    SteadyTime idleUntil;
};

using BackendConnectionPtr = std::unique_ptr<BackendConnection>;

} // namespace snipestall::gateway
