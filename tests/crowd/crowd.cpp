#include "crowd/crowd.hpp"

#include "harness/wait_until.hpp"
#include "snipestall/wire/signal.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace snipestall::crowd {

namespace asio = boost::asio;
using asio::ip::tcp;
using wire::Task;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// Time after which a client whose connection has ended comes back.
constexpr std::chrono::milliseconds ReturnTime { 50 };

} // namespace

struct Crowd::Client
{
    explicit Client(asio::io_context &io)
        : socket(io)
    { }

    tcp::socket socket;
    bool closed = false;
};

Crowd::Crowd(wire::Endpoint address, CrowdScript script, std::size_t size)
    : m_address(std::move(address))
    , m_script(std::move(script))
    , m_size(size)
{
    for (std::size_t i = 0; i < size; ++i)
        asio::co_spawn(m_io, play(std::make_shared<Client>(m_io)), asio::detached);
    m_thread = std::thread([this] { m_io.run(); });
}

Crowd::~Crowd()
{
    m_stopped = true;
    m_io.stop();
    m_thread.join();
}

void Crowd::awaitSent(std::chrono::milliseconds limit) const
{
    harness::waitUntil([this] { return m_done >= m_size; }, limit);
}

Task<void> Crowd::readAll(std::shared_ptr<Client> client)
{
    std::array<char, 16384> bytes {};
    while (!client->closed) {
        const auto buffer = asio::buffer(bytes);
        const auto [error, size] = co_await client->socket.async_read_some(buffer, UseTuple);
        client->closed = !!error;
    }
}

Task<bool> Crowd::send(std::shared_ptr<Client> client)
{
    const auto start = asio::buffer(m_script.start);
    auto [error, size] = co_await asio::async_write(client->socket, start, UseTuple);
    for (std::size_t sent = 0; !error && sent < m_script.fillerBytes;) {
        const auto piece = asio::buffer(m_script.filler, m_script.fillerBytes - sent);
        std::tie(error, size) = co_await asio::async_write(client->socket, piece, UseTuple);
        sent += size;
        if (m_script.pause.count() > 0)
            co_await wire::sleepFor(m_script.pause);
    }
    const auto end = asio::buffer(m_script.end);
    if (!error)
        std::tie(error, size) = co_await asio::async_write(client->socket, end, UseTuple);
    co_return !error;
}

Task<void> Crowd::play(std::shared_ptr<Client> client)
{
    const tcp::endpoint remote(asio::ip::make_address(m_address.host), m_address.port);
    bool counted = false;
    do {
        client->closed = false;
        boost::system::error_code ignored;
        client->socket.close(ignored);
        const auto [error] = co_await client->socket.async_connect(remote, UseTuple);
        if (!error && m_script.reads)
            asio::co_spawn(m_io, readAll(client), asio::detached);
        const bool sent = !error && co_await send(client);
        if (!std::exchange(counted, true))
            ++m_done;
        while (sent && !client->closed && !m_stopped)
            co_await wire::sleepFor(ReturnTime);
        co_await wire::sleepFor(ReturnTime);
    } while (m_script.comesBack && !m_stopped);
}

} // namespace snipestall::crowd
