#include "raw_backend.hpp"

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace snipestall::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

std::string attemptOf(const std::string &request)
{
    constexpr std::string_view Field = "X-Attempt-Id: ";
    const std::size_t at = request.find(Field);
    if (at == std::string::npos)
        return {};
    const std::size_t from = at + Field.size();
    return request.substr(from, request.find('\r', from) - from);
}

/// Reads up to the end that the length in the head says. `read`: what has been read so far.
asio::awaitable<void> readRest(tcp::socket &socket, std::string read)
{
    constexpr std::string_view Field = "Content-Length: ";
    const std::size_t length = std::stoul(read.substr(read.find(Field) + Field.size()));
    const std::size_t size = read.find("\r\n\r\n") + 4 + length;
    while (read.size() < size) {
        const auto [error, bytes] = co_await asio::async_read(socket, asio::dynamic_buffer(read),
                                                              asio::transfer_at_least(1), UseTuple);
        if (error)
            co_return;
    }
}

} // namespace

RawBackend::RawBackend(asio::io_context &io, std::string id)
    : m_id(std::move(id))
    , m_acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
    asio::co_spawn(io, accept(), asio::detached);
}

std::string RawBackend::entry(int incarnation, const std::string &state) const
{
    return R"({"service":"ledger","zone":"east","slotCount":4,"state":)" + state + R"(,"born":)"
        + std::to_string(incarnation) + R"(,"address":")" + address() + "\"}";
}

void RawBackend::limitReceived(int bytes)
{
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(bytes));
}

std::string RawBackend::address() const
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

asio::awaitable<void> RawBackend::accept()
{
    while (true) {
        auto [error, socket] = co_await m_acceptor.async_accept(UseTuple);
        if (error)
            co_return;
        const auto executor = socket.get_executor();
        asio::co_spawn(executor, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> RawBackend::serve(tcp::socket socket)
{
    const Script script = m_script;
    asio::steady_timer silence(socket.get_executor(), script.silence);
    co_await silence.async_wait(UseTuple);
    std::string request;
    const auto [readError, size] = co_await asio::async_read_until(
        socket, asio::dynamic_buffer(request), "\r\n\r\n", UseTuple);
    if (readError)
        co_return;
    if (!script.firstAnswer.empty()) {
        std::string whole = script.firstAnswer;
        boost::algorithm::replace_all(whole, "@ID", attemptOf(request));
        co_await asio::async_write(socket, asio::buffer(whole), UseTuple);
        request.clear();
        const auto [nextError, nextSize] = co_await asio::async_read_until(
            socket, asio::dynamic_buffer(request), "\r\n\r\n", UseTuple);
        if (nextError)
            co_return;
    }
    if (request.starts_with("POST /v1/kv-move")) {
        ++m_moves;
        co_await asio::async_write(socket, asio::buffer(script.moveAnswer), UseTuple);
        co_return;
    }
    const bool continues = request.find("\r\nKv-From: ") != std::string::npos;
    if (continues)
        m_continued = request;
    else
        ++m_requests;
    std::string bytes = continues ? script.continuation : script.bytes;
    boost::algorithm::replace_all(bytes, "@ID", attemptOf(request));
    co_await asio::async_write(socket, asio::buffer(bytes), UseTuple);
    while (script.end == End::Endless) {
        const auto [error, written] =
            co_await asio::async_write(socket, asio::buffer(script.filler), UseTuple);
        m_filler += written;
        if (error)
            break;
    }
    if (script.end == End::AwaitMove && !continues) {
        while (m_moves == 0) {
            asio::steady_timer tick(socket.get_executor(), std::chrono::milliseconds(1));
            co_await tick.async_wait(UseTuple);
        }
        co_await asio::async_write(socket, asio::buffer(script.afterMove), UseTuple);
    }
    asio::steady_timer beforeEnd(socket.get_executor(), script.beforeEnd);
    co_await beforeEnd.async_wait(UseTuple);
    if (script.end == End::ReadOn)
        co_await readRest(socket, std::move(request));
    boost::system::error_code ignored;
    if (script.end == End::Reset)
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace snipestall::gateway
