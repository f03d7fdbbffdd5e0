#pragma once

#include "snipestall/wire/message_parser.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/beast/core/tcp_stream.hpp>

namespace snipestall::wire {

/// Reads from the connection until the head of the message is complete, some bytes of its body have
/// arrived, or it is complete. The stream's time limit applies to all of it.
///
/// The bytes are parsed in the coroutine, so an exception ends only this message: Beast's own
/// operations parse in a handler, whose exceptions leave the I/O loop.
template<bool IsRequest>
Task<boost::system::error_code> readMessage(boost::beast::tcp_stream &stream,
                                            boost::beast::flat_buffer &buffer,
                                            MessageParser<IsRequest> &parser);

extern template Task<boost::system::error_code>
readMessage(boost::beast::tcp_stream &, boost::beast::flat_buffer &, MessageParser<true> &);
extern template Task<boost::system::error_code>
readMessage(boost::beast::tcp_stream &, boost::beast::flat_buffer &, MessageParser<false> &);

} // namespace snipestall::wire
