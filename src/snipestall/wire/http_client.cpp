#include "snipestall/wire/http_client.hpp"

#include "snipestall/wire/http_stream.hpp"
#include "snipestall/wire/interim_response.hpp"
#include "snipestall/wire/message_reader.hpp"
#include "snipestall/wire/socket_options.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <map>
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
constexpr std::size_t MaxIdlePerEndpoint = 16;
constexpr std::uint64_t MaxResponseBytes = 64ULL * 1024 * 1024;

struct Connection
{
    explicit Connection(asio::io_context &io)
        : stream(io)
    { }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

using ConnectionPtr = std::unique_ptr<Connection>;

tl::unexpected<Error> connectionLost(const Endpoint &endpoint, const beast::error_code &ec)
{
    const bool timedOut = ec == beast::error::timeout;
    return fail(timedOut ? ErrorKind::DeadlineExceeded : ErrorKind::OutcomeUnknown,
                endpoint.toString() + ": connection lost: " + ec.message()
                    + "; read back whether the request ran");
}

} // namespace

struct HttpClient::State
{
    explicit State(asio::io_context &context)
        : io(context)
    { }

    ConnectionPtr takeIdle(const Endpoint &endpoint);
    void returnIdle(const Endpoint &endpoint, ConnectionPtr connection);

    asio::io_context &io;
    std::map<Endpoint, std::vector<ConnectionPtr>> idle;
};

ConnectionPtr HttpClient::State::takeIdle(const Endpoint &endpoint)
{
    auto &connections = idle[endpoint];
    while (!connections.empty()) {
        ConnectionPtr connection = std::move(connections.back());
        connections.pop_back();
        if (isIdleAndOpen(connection->stream.socket()))
            return connection;
    }
    return nullptr;
}

void HttpClient::State::returnIdle(const Endpoint &endpoint, ConnectionPtr connection)
{
    // Bytes after the end of the response belong to no request, so the connection must not be
    // reused.
    if (connection->buffer.size() != 0)
        return;
    auto &connections = idle[endpoint];
    connection->stream.expires_never();
    if (connections.size() < MaxIdlePerEndpoint)
        connections.push_back(std::move(connection));
}

namespace {

/// Reads one response; returns its connection to the pool only if the response was read to its end.
template<typename State>
class TcpResponseStream final : public HttpStream
{
public:
    TcpResponseStream(std::shared_ptr<State> state, Endpoint endpoint, ConnectionPtr connection,
                      std::chrono::milliseconds idleTimeout)
        : m_state(std::move(state))
        , m_endpoint(std::move(endpoint))
        , m_connection(std::move(connection))
        , m_idleTimeout(idleTimeout)
    { }

    Task<beast::error_code> readHead()
    {
        unsigned status = 0;
        for (int interim = 0; status < FirstFinalStatus; ++interim) {
            if (interim > MaxInterimResponses || status == SwitchingProtocols)
                co_return http::make_error_code(http::error::bad_status);
            m_parser.emplace();
            m_parser->body_limit(MaxResponseBytes);
            m_connection->stream.expires_after(m_idleTimeout);
            if (const auto error =
                    co_await readMessage(m_connection->stream, m_connection->buffer, *m_parser))
                co_return error;
            status = m_parser->head().result_int();
        }
        const auto &head = m_parser->head();
        m_head.status = static_cast<int>(status);
        for (const auto &field : head)
            m_head.fields.set(std::string(field.name_string()), std::string(field.value()));
        co_return beast::error_code();
    }

    [[nodiscard]] const HttpResponse &head() const override { return m_head; }

    Task<Result<std::optional<std::string>>> read() override
    {
        while (true) {
            std::string bytes = m_parser->takeBody();
            if (!bytes.empty())
                co_return std::optional<std::string>(std::move(bytes));
            if (m_parser->is_done())
                break;
            if (m_connection == nullptr)
                co_return connectionLost(m_endpoint, asio::error::operation_aborted);
            m_connection->stream.expires_after(m_idleTimeout);
            if (const auto error =
                    co_await readMessage(m_connection->stream, m_connection->buffer, *m_parser))
                co_return connectionLost(m_endpoint, error);
        }
        release();
        co_return std::optional<std::string>();
    }

    void close() override
    {
        if (m_connection != nullptr)
            m_connection->stream.close();
    }

private:
    void release()
    {
        if (m_connection == nullptr)
            return;
        if (m_parser->keep_alive())
            m_state->returnIdle(m_endpoint, std::move(m_connection));
        m_connection.reset();
    }

    std::shared_ptr<State> m_state;
    Endpoint m_endpoint;
    ConnectionPtr m_connection;
    std::chrono::milliseconds m_idleTimeout;
    std::optional<MessageParser<false>> m_parser;
    HttpResponse m_head;
};

http::request<http::string_body> toMessage(const Endpoint &endpoint, HttpRequest &&request)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host, endpoint.toString());
    for (const auto &[name, value] : request.fields.all())
        message.set(name, value);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

} // namespace

HttpClient::HttpClient(asio::io_context &io)
    : m_state(std::make_shared<State>(io))
{ }

HttpClient::~HttpClient() = default;

Task<Result<std::unique_ptr<HttpStream>>> HttpClient::open(Endpoint endpoint, HttpRequest request,
                                                           HttpCallOptions options)
{
    const auto state = m_state;
    ConnectionPtr connection = options.freshConnection ? nullptr : state->takeIdle(endpoint);
    if (connection == nullptr) {
        connection = std::make_unique<Connection>(state->io);
        beast::error_code ignored;
        const tcp::endpoint remote(asio::ip::make_address(endpoint.host, ignored), endpoint.port);
        connection->stream.expires_after(options.connectTimeout);
        auto [ec] = co_await connection->stream.async_connect(remote, UseTuple);
        if (ec)
            co_return fail(ErrorKind::Unavailable,
                           "can't connect to " + endpoint.toString() + ": " + ec.message()
                               + "; check that it is running");
        detectLostPeer(connection->stream.socket());
        resetOnClose(connection->stream.socket());
    }
    if (options.beforeSend && !options.beforeSend())
        co_return fail(ErrorKind::Unavailable,
                       "abandoned before a byte was sent; the request did not run");
    const auto message = toMessage(endpoint, std::move(request));
    connection->stream.expires_after(options.idleTimeout);
    auto [ec, sent] = co_await http::async_write(connection->stream, message, UseTuple);
    if (ec)
        co_return connectionLost(endpoint, ec);
    auto response = std::make_unique<TcpResponseStream<State>>(
        state, endpoint, std::move(connection), options.idleTimeout);
    const beast::error_code headError = co_await response->readHead();
    if (headError)
        co_return connectionLost(endpoint, headError);
    co_return std::unique_ptr<HttpStream>(std::move(response));
}

Task<Result<HttpResponse>> HttpClient::fetch(Endpoint endpoint, HttpRequest request,
                                             HttpCallOptions options)
{
    auto stream = co_await open(std::move(endpoint), std::move(request), std::move(options));
    if (!stream)
        co_return tl::unexpected<Error>(std::move(stream.error()));
    HttpResponse response = (*stream)->head();
    while (true) {
        auto bytes = co_await (*stream)->read();
        if (!bytes)
            co_return tl::unexpected<Error>(std::move(bytes.error()));
        if (!bytes->has_value())
            break;
        response.body += **bytes;
    }
    co_return response;
}

} // namespace snipestall::wire
