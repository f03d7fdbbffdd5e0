#include "snipestall/wire/http_server.hpp"

#include "snipestall/wire/answer_body.hpp"
#include "snipestall/wire/discard.hpp"
#include "snipestall/wire/http_exchange.hpp"
#include "snipestall/wire/message_reader.hpp"
#include "snipestall/wire/signal.hpp"
#include "snipestall/wire/spawn.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace snipestall::wire {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t MaxHeaderBytes = 32 * 1024;
/// Time that a connection may stay idle or take to deliver a request before it is closed.
constexpr std::chrono::seconds ReadTimeout { 60 };
/// A caller that receives no bytes for this time is considered gone; it can reconnect and resume at
/// its offset.
constexpr std::chrono::seconds WriteTimeout { 30 };
constexpr std::size_t MaxDiscardedBytes = 64 * 1024 * 1024;
/// Pause of the accept loop when no descriptors are left.
constexpr std::chrono::milliseconds AcceptPause { 20 };

HttpRequest toRequest(const http::request_header<> &head, std::string body)
{
    HttpRequest request;
    request.method = std::string(head.method_string());
    request.target = std::string(head.target());
    for (const auto &field : head)
        request.fields.set(std::string(field.name_string()), std::string(field.value()));
    request.body = std::move(body);
    return request;
}

template<typename Message>
void copyFields(const HttpFields &from, Message &to)
{
    for (const auto &[name, value] : from.all())
        to.set(name, value);
}

/// An exchange over an unencrypted TCP connection.
class TcpExchange final : public HttpExchange
{
public:
    TcpExchange(beast::tcp_stream &stream, HttpRequest request, bool keepAlive)
        : m_stream(stream)
        , m_request(std::move(request))
        , m_keepAlive(keepAlive)
    { }

    ~TcpExchange() override { m_stopPeerWatch.emit(asio::cancellation_type::all); }

    [[nodiscard]] const HttpRequest &request() const override { return m_request; }
    [[nodiscard]] bool keepAlive() const { return m_keepAlive && m_ended && !m_aborted; }
    [[nodiscard]] bool ended() const { return m_ended || m_aborted; }
    void closeAfter() { m_keepAlive = false; }

    Task<void> respond(HttpResponse response) override
    {
        http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
        copyFields(response.fields, message);
        message.keep_alive(m_keepAlive);
        if (!isBodyless(message.result_int())) {
            message.body() = std::move(response.body);
            message.prepare_payload();
        }
        if (!mayHaveBody(message.result_int())) {
            message.body().clear();
            eraseBodyFields(message.result_int(), message);
        }
        m_stream.expires_after(WriteTimeout);
        co_await http::async_write(m_stream, message, asio::use_awaitable);
        m_ended = true;
    }

    Task<void> beginStream(HttpResponse head) override
    {
        http::response<http::empty_body> message(static_cast<http::status>(head.status), 11);
        copyFields(head.fields, message);
        message.keep_alive(m_keepAlive);
        m_writesBody = mayHaveBody(message.result_int());
        if (m_writesBody)
            message.chunked(true);
        else
            eraseBodyFields(message.result_int(), message);
        http::response_serializer<http::empty_body> serializer(message);
        m_stream.expires_after(WriteTimeout);
        co_await http::async_write_header(m_stream, serializer, asio::use_awaitable);
    }

    Task<void> write(std::string chunk) override
    {
        if (chunk.empty() || !m_writesBody)
            co_return;
        m_stream.expires_after(WriteTimeout);
        const auto buffers = http::make_chunk(asio::buffer(chunk));
        co_await asio::async_write(m_stream, buffers, asio::use_awaitable);
    }

    Task<void> finish() override
    {
        if (m_writesBody) {
            m_stream.expires_after(WriteTimeout);
            const auto last = http::make_chunk_last();
            co_await asio::async_write(m_stream, last, asio::use_awaitable);
        }
        m_ended = true;
    }

    void abort() override
    {
        m_aborted = true;
        beast::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        m_stream.close();
    }

    // Without this, a caller that disconnects while its request waits in a queue would still take
    // up a slot. A readable socket that has no byte to read has reached the end of its stream.
    void onPeerClosed(std::function<void()> callback) override
    {
        auto &socket = m_stream.socket();
        socket.async_wait(tcp::socket::wait_read,
                          asio::bind_cancellation_slot(
                              m_stopPeerWatch.slot(),
                              [&socket, callback = std::move(callback)](beast::error_code ec) {
                                  if (ec)
                                      return;
                                  char byte = 0;
                                  socket.non_blocking(true);
                                  beast::error_code peeked;
                                  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                                                 peeked);
                                  if (peeked && peeked != asio::error::would_block)
                                      callback();
                              }));
    }

private:
    [[nodiscard]] bool mayHaveBody(unsigned status) const
    {
        return hasBody(http::string_to_verb(m_request.method), status);
    }

    beast::tcp_stream &m_stream;
    HttpRequest m_request;
    bool m_writesBody = true;
    bool m_keepAlive;
    bool m_ended = false;
    bool m_aborted = false;
    asio::cancellation_signal m_stopPeerWatch;
};

HttpResponse errorResponse(int status, const std::string &message)
{
    return HttpResponse::json(
        status, R"({"error":{"type":"invalid_request","message":")" + message + "\"}}");
}

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
    State(asio::io_context &context, Handler h, HttpServerOptions o)
        : io(context)
        , acceptor(context)
        , handler(std::move(h))
        , options(std::move(o))
    { }

    Task<void> acceptLoop();
    Task<void> serve(tcp::socket socket);
    Task<bool> serveOne(beast::tcp_stream &stream, beast::flat_buffer &buffer);

    asio::io_context &io;
    tcp::acceptor acceptor;
    Handler handler;
    HttpServerOptions options;
    bool stopping = false;
    /// Closes the connection that has waited for longest for a whole request. Returns false if all
    /// carry one.
    bool closeOldestWaiting();

    std::size_t connections = 0;
    /// Connections that wait for a whole request, by the order in which they began to.
    std::map<std::uint64_t, beast::tcp_stream *> waiting;
    std::uint64_t nextWaiting = 0;
};

bool HttpServer::State::closeOldestWaiting()
{
    if (waiting.empty())
        return false;
    waiting.begin()->second->close();
    waiting.erase(waiting.begin());
    return true;
}

Task<void> HttpServer::State::acceptLoop()
{
    const auto self = shared_from_this();
    while (!stopping) {
        auto [ec, socket] = co_await acceptor.async_accept(UseTuple);
        if (ec == asio::error::operation_aborted || stopping)
            co_return;
        if (ec) {
            // Without a free descriptor, each attempt fails at once.
            co_await sleepFor(AcceptPause);
            continue;
        }
        const bool full = options.connectionLimit > 0 && connections >= options.connectionLimit;
        if (full && !closeOldestWaiting())
            continue;
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        spawn(io, serve(std::move(socket)), "http-server");
    }
}

Task<void> HttpServer::State::serve(tcp::socket socket)
{
    const auto self = shared_from_this();
    ++connections;
    const std::shared_ptr<void> end(nullptr, [self](void *) { --self->connections; });
    try {
        beast::tcp_stream stream(std::move(socket));
        beast::flat_buffer buffer;
        bool more = true;
        while (more)
            more = co_await serveOne(stream, buffer);
        beast::error_code ignored;
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    } catch (const boost::system::system_error &) {
        // The peer closed the connection or timed out, so no response can be sent.
    }
}

Task<bool> HttpServer::State::serveOne(beast::tcp_stream &stream, beast::flat_buffer &buffer)
{
    MessageParser<true> parser;
    parser.body_limit(options.maxBody);
    parser.header_limit(MaxHeaderBytes);
    stream.expires_after(ReadTimeout);
    const std::uint64_t number = nextWaiting++;
    waiting.emplace(number, &stream);
    const auto leave = [this, number] { waiting.erase(number); };
    const std::shared_ptr<void> left(nullptr, [leave](void *) { leave(); });
    std::string body;
    beast::error_code ec;
    while (!ec && !parser.is_done()) {
        ec = co_await readMessage(stream, buffer, parser);
        body += parser.takeBody();
    }
    if (ec == http::error::body_limit || ec == http::error::header_limit) {
        TcpExchange exchange(stream, {}, false);
        co_await exchange.respond(
            errorResponse(413, "the header or body is too large; send a shorter one"));
        co_await discardRest(stream, MaxDiscardedBytes);
        co_return false;
    }
    if (ec && ec.category() == http::make_error_code(http::error::bad_version).category()
        && ec != http::error::end_of_stream && ec != http::error::partial_message) {
        TcpExchange exchange(stream, {}, false);
        co_await exchange.respond(errorResponse(400, "malformed HTTP; send an HTTP/1.1 request"));
        co_return false;
    }
    if (ec)
        co_return false;
    leave();
    const bool keepAlive = parser.keep_alive() && !stopping;
    TcpExchange exchange(stream, toRequest(parser.head(), std::move(body)), keepAlive);
    stream.expires_never();
    co_await handler(exchange);
    if (!exchange.ended())
        exchange.abort();
    co_return exchange.keepAlive() && !stopping;
}

HttpServer::HttpServer(std::shared_ptr<State> state)
    : m_state(std::move(state))
{ }

HttpServer::~HttpServer()
{
    stopAccepting();
}

Result<std::unique_ptr<HttpServer>> HttpServer::create(asio::io_context &io,
                                                       const Endpoint &endpoint, Handler handler,
                                                       HttpServerOptions options)
{
    auto state = std::make_shared<State>(io, std::move(handler), std::move(options));
    beast::error_code ec;
    const auto address = asio::ip::make_address(endpoint.host, ec);
    const tcp::endpoint local(address, endpoint.port);
    const auto listen = [&] {
        if (!ec)
            state->acceptor.open(local.protocol(), ec);
        if (!ec)
            state->acceptor.set_option(asio::socket_base::reuse_address(true), ec);
        if (!ec)
            state->acceptor.bind(local, ec);
        if (!ec)
            state->acceptor.listen(asio::socket_base::max_listen_connections, ec);
    };
    listen();
    if (ec)
        return fail(ErrorKind::Unavailable,
                    "can't listen on " + endpoint.toString() + ": " + ec.message()
                        + "; free the port or choose another in the local settings");
    spawnLoop(
        io, [state] { return state->acceptLoop(); }, "http-accept");
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

Endpoint HttpServer::endpoint() const
{
    beast::error_code ignored;
    const auto local = m_state->acceptor.local_endpoint(ignored);
    return { local.address().to_string(), local.port() };
}

void HttpServer::stopAccepting()
{
    m_state->stopping = true;
    beast::error_code ignored;
    m_state->acceptor.close(ignored);
}

std::size_t HttpServer::connections() const
{
    return m_state->connections;
}

} // namespace snipestall::wire
