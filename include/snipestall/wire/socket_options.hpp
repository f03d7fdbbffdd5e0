#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/socket_base.hpp>

#include <chrono>
#include <cstddef>

namespace snipestall::wire {

/// About a hundred round trips between the data centres of one region, so that packet loss alone
/// doesn't end a connection.
inline constexpr std::chrono::milliseconds LostServerTime { 1500 };

/// Configures a connection so that the loss of a peer is detected even if no reset arrives.
///
/// When a peer loses power or is disconnected from the network, no reset arrives, and calls would
/// hang until their timeout. With these options, unacknowledged bytes end the connection after
/// `limit`, and keep-alive probes detect the loss while this side only waits for a response.
///
/// The kernel counts the time in which a peer that is there takes nothing in as well, so `limit` is
/// at least how long the peer may pause in reading.
void detectLostPeer(boost::asio::ip::tcp::socket &socket,
                    std::chrono::milliseconds limit = LostServerTime);

/// What the kernel holds of a connection that is limited by limitUnreadBytes(), at most: it doubles
/// the size that it is given.
inline constexpr std::size_t MaxUnreadBytes = std::size_t(64) * 1024;

/// Limits the bytes that the kernel receives and nobody has read. They count as the memory of the
/// process, and by default the kernel lets them grow to megabytes a connection. Takes effect before
/// the connection is opened; those that a listening socket accepts inherit it.
template<typename Socket>
void limitUnreadBytes(Socket &socket)
{
    constexpr int BufferBytes = MaxUnreadBytes / 2;
    boost::system::error_code ignored; // A socket without the option still works.
    socket.set_option(boost::asio::socket_base::receive_buffer_size(BufferBytes), ignored);
}

/// Makes closing an outgoing connection send a reset.
///
/// A call may be abandoned while its bytes wait behind a network partition. After a normal close
/// the kernel keeps sending them, so the call could arrive and be carried out seconds after its
/// sender stopped waiting: an order under a lease that another instance holds by then, or a request
/// whose caller has left. A reset drops the bytes that have not been sent.
void resetOnClose(boost::asio::ip::tcp::socket &socket);

/// Whether a pooled connection is open and has nothing to read. Anything that has arrived on an
/// idle connection is either its end or bytes that belong to no request.
bool isIdleAndOpen(boost::asio::ip::tcp::socket &socket);

/// Whether the peer has closed the connection, even if some of its bytes are still unread. Queries
/// the kernel, because the I/O loop may report the close later.
bool peerHasClosed(boost::asio::ip::tcp::socket &socket);

} // namespace snipestall::wire
