#pragma once

#include "snipestall/wire/task.hpp"

#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>

namespace snipestall::wire {

/// Ends the sending side of a connection whose last answer has been written, and discards what the
/// peer still sends, up to a limit of bytes and of time. If the connection were closed while the
/// peer is sending, the peer would get a reset instead of the answer.
Task<void> discardRest(boost::beast::tcp_stream &stream, std::size_t maxBytes);

} // namespace snipestall::wire
