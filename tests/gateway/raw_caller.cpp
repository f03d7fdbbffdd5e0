#include "raw_caller.hpp"

#include "snipestall/wire/signal.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <utility>

namespace snipestall::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using wire::Task;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds MostTime { 8 };
constexpr std::chrono::milliseconds Tick { 2 };

struct Connection
{
    explicit Connection(const asio::any_io_executor &executor)
        : socket(executor)
    { }

    tcp::socket socket;
    RawRequest request;
    RawExchange exchange;
    bool written = false;
};

Task<void> readAll(std::shared_ptr<Connection> connection)
{
    std::array<char, 4096> bytes {};
    while (!connection->exchange.closed) {
        const auto buffer = asio::buffer(bytes);
        const auto [error, size] = co_await connection->socket.async_read_some(buffer, UseTuple);
        connection->exchange.answer.append(bytes.data(), size);
        connection->exchange.closed = !!error;
    }
}

Task<void> writeAll(std::shared_ptr<Connection> connection)
{
    const RawRequest &request = connection->request;
    const auto bytes = asio::buffer(request.bytes);
    auto [error, size] = co_await asio::async_write(connection->socket, bytes, UseTuple);
    while (!error && !request.filler.empty() && connection->exchange.filler < request.maxFiller
           && !connection->exchange.closed) {
        const auto filler = asio::buffer(request.filler);
        std::tie(error, size) = co_await asio::async_write(connection->socket, filler, UseTuple);
        connection->exchange.filler += size;
    }
    boost::system::error_code ignored;
    if (request.endAfter)
        connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
    connection->written = true;
}

} // namespace

Task<RawExchange> exchangeRaw(wire::Endpoint address, RawRequest request)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto connection = std::make_shared<Connection>(executor);
    connection->request = std::move(request);
    const tcp::endpoint remote(asio::ip::make_address(address.host), address.port);
    const auto [error] = co_await connection->socket.async_connect(remote, UseTuple);
    if (error)
        co_return RawExchange();
    asio::co_spawn(executor, readAll(connection), asio::detached);
    asio::co_spawn(executor, writeAll(connection), asio::detached);
    const auto until = std::chrono::steady_clock::now() + MostTime;
    while (!connection->exchange.closed && std::chrono::steady_clock::now() < until)
        co_await wire::sleepFor(Tick);
    const RawExchange result = connection->exchange;
    connection->exchange.closed = true;
    boost::system::error_code ignored;
    connection->socket.close(ignored);
    while (!connection->written)
        co_await wire::sleepFor(Tick);
    co_return result;
}

} // namespace snipestall::gateway
