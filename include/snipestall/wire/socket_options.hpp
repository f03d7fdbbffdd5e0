#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace snipestall::wire {

/// Sets a connection up so that a peer which vanishes without a reset is noticed.
///
/// Failure: a peer loses power or is cut off, and no reset arrives. It shows as a call that hangs
/// until its timeout. Unacknowledged bytes end the connection after the user timeout, and
/// keep-alive probes find the loss while only an answer is awaited.
void detectLostPeer(boost::asio::ip::tcp::socket &socket);

/// Makes every close of an outgoing connection a reset.
///
/// Failure: a call is given up while its bytes wait behind a network partition. A plain close lets
/// the kernel go on sending them, and they are carried out seconds later: an order under a lease
/// that has passed on, or a request whose caller has left. It shows as a call that arrives long
/// after its sender stopped waiting. A reset drops what has not been sent.
void resetOnClose(boost::asio::ip::tcp::socket &socket);

/// Whether a kept connection is open and has nothing to read: what has arrived on an idle
/// connection is its end or bytes that belong to no request.
bool isIdleAndOpen(boost::asio::ip::tcp::socket &socket);

/// Whether the peer has closed the connection, whatever of its bytes is still unread. Asks the
/// kernel: an event of the loop may tell it later.
bool peerHasClosed(boost::asio::ip::tcp::socket &socket);

} // namespace snipestall::wire
