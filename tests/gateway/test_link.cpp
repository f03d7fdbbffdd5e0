#include "test_link.hpp"

#include "snipestall/wire/signal.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>
#include <vector>

namespace snipestall::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using wire::Task;
using namespace std::chrono_literals;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

tcp::endpoint addressOf(const wire::Endpoint &endpoint)
{
    return { asio::ip::make_address(endpoint.host), endpoint.port };
}

} // namespace

struct TestLink::Connection
{
    explicit Connection(Socket accepted)
        : caller(std::move(accepted))
        , server(caller.get_executor())
    { }

    Socket caller;
    Socket server;
};

TestLink::TestLink(asio::io_context &io, wire::Endpoint server)
    : m_io(io)
    , m_server(std::move(server))
    , m_endpoint { "127.0.0.1", 0 }
{
    open();
}

TestLink::~TestLink() = default;

void TestLink::open()
{
    m_acceptor = std::make_unique<tcp::acceptor>(m_io);
    m_acceptor->open(tcp::v4());
    m_acceptor->set_option(tcp::acceptor::reuse_address(true));
    m_acceptor->bind(addressOf(m_endpoint));
    m_acceptor->listen(m_cut == Cut::Hang ? 0 : asio::socket_base::max_listen_connections);
    m_endpoint.port = m_acceptor->local_endpoint().port();
    if (m_cut != Cut::Hang)
        asio::co_spawn(m_io, accept(), asio::detached);
}

void TestLink::cut(Cut kind)
{
    m_cut = kind;
    m_queued.clear();
    m_acceptor.reset();
    if (kind == Cut::Refuse) {
        for (const auto &connection : m_connections) {
            boost::system::error_code ignored;
            connection->caller.set_option(asio::socket_base::linger(true, 0), ignored);
            connection->caller.close(ignored);
            connection->server.close(ignored);
        }
    }
    if (kind == Cut::None || kind == Cut::Hang)
        open();
    if (kind != Cut::Hang)
        return;
    constexpr int QueueLength = 4;
    for (int i = 0; i < QueueLength; ++i) {
        m_queued.emplace_back(m_io);
        m_queued.back().async_connect(addressOf(m_endpoint), [](const auto &) {});
    }
}

Task<void> TestLink::accept()
{
    while (true) {
        auto [error, socket] = co_await m_acceptor->async_accept(UseTuple);
        if (error)
            co_return;
        auto connection = std::make_shared<Connection>(std::move(socket));
        auto [failed] = co_await connection->server.async_connect(addressOf(m_server), UseTuple);
        if (failed)
            continue;
        m_connections.insert(connection);
        asio::co_spawn(m_io, forward(connection, true), asio::detached);
        asio::co_spawn(m_io, forward(connection, false), asio::detached);
    }
}

Task<void> TestLink::forward(std::shared_ptr<Connection> connection, bool toServer)
{
    Socket &from = toServer ? connection->caller : connection->server;
    Socket &to = toServer ? connection->server : connection->caller;
    std::array<char, 16384> buffer {};
    while (true) {
        auto [error, size] = co_await from.async_read_some(asio::buffer(buffer), UseTuple);
        while (m_cut == Cut::Hang && !error)
            co_await wire::sleepFor(5ms);
        if (error)
            break;
        auto [failed, written] =
            co_await asio::async_write(to, asio::buffer(buffer, size), UseTuple);
        if (failed)
            break;
    }
    boost::system::error_code ignored;
    connection->caller.close(ignored);
    connection->server.close(ignored);
    m_connections.erase(connection);
}

} // namespace snipestall::gateway
