#pragma once

#include "snipestall/base/clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

namespace snipestall::gateway {

/// One connection to a backend server.
struct BackendLink
{
    explicit BackendLink(boost::asio::io_context &io)
        : stream(io)
    { }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    /// The server closes the connection if it stays idle for longer.
    SteadyTime idleUntil;
};

using BackendLinkPtr = std::unique_ptr<BackendLink>;

} // namespace snipestall::gateway
