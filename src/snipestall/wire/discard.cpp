#include "snipestall/wire/discard.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <chrono>

namespace snipestall::wire {

namespace asio = boost::asio;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds DiscardTimeout { 2 };
constexpr std::size_t BufferBytes = 16 * 1024;

} // namespace

Task<void> discardRest(boost::beast::tcp_stream &stream, std::size_t maxBytes)
{
    boost::system::error_code ignored;
    stream.socket().shutdown(asio::socket_base::shutdown_send, ignored);
    stream.expires_after(DiscardTimeout);
    // What is read is never looked at, so all connections of a thread share the buffer.
    static thread_local std::array<char, BufferBytes> bytes;
    std::size_t total = 0;
    while (total < maxBytes) {
        const auto buffer = asio::buffer(bytes);
        auto [error, count] = co_await stream.async_read_some(buffer, UseTuple);
        if (error)
            co_return;
        total += count;
    }
}

} // namespace snipestall::wire
