#include "snipestall/wire/socket_options.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>

namespace snipestall::wire {

namespace {

using boost::asio::ip::tcp;
template<int Name>
using TcpOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

/// The shortest time that the kernel supports.
constexpr int KeepAliveIdleS = 1;
constexpr int KeepAliveIntervalS = 1;
constexpr int KeepAliveProbes = 2;

} // namespace

void detectLostPeer(tcp::socket &socket, std::chrono::milliseconds limit)
{
    boost::system::error_code ignored; // A socket without the options still works.
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(KeepAliveIdleS), ignored);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(KeepAliveIntervalS), ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(KeepAliveProbes), ignored);
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(static_cast<int>(limit.count())), ignored);
}

void resetOnClose(tcp::socket &socket)
{
    boost::system::error_code ignored; // A socket without the option still works.
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

bool peerHasClosed(tcp::socket &socket)
{
    boost::system::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    const std::size_t unread =
        socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error == boost::asio::error::would_block)
        return false;
    if (error || unread == 0)
        return true;
    // receive() doesn't report a close that is preceded by unread bytes; poll() does.
    pollfd state { socket.native_handle(), POLLRDHUP, 0 };
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool isIdleAndOpen(tcp::socket &socket)
{
    boost::system::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == boost::asio::error::would_block;
}

} // namespace snipestall::wire
