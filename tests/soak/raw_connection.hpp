#pragma once

#include "soak/attempt.hpp"

#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <string>

namespace snipestall::soak {

/// A connection to a gateway on which a client writes any bytes, also several requests ahead.
class RawConnection
{
public:
    explicit RawConnection(boost::asio::io_context &io);

    /// Returns whether the connection was established.
    wire::Task<bool> open(wire::Endpoint gateway);
    /// Returns whether all bytes were written.
    wire::Task<bool> write(std::string bytes);
    /// Writes `bytes` again and again, `size` bytes in all. Returns whether all were written.
    wire::Task<bool> writeUpTo(std::size_t size, std::string bytes);
    /// Reads the next answer into the attempt. Returns false if the connection has ended or no
    /// whole answer came.
    wire::Task<bool> read(Attempt &attempt);
    void close();

private:
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
};

/// First line and fields of the attempt's request, without the empty line at their end.
std::string headOf(const Attempt &attempt);

} // namespace snipestall::soak
