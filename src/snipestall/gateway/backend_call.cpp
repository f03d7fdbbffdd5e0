#include "snipestall/gateway/backend_call.hpp"

#include "platform/server_header.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/backend_pool.hpp"
#include "snipestall/wire/interim_response.hpp"
#include "snipestall/wire/message_reader.hpp"
#include "snipestall/wire/signal.hpp"
#include "snipestall/wire/socket_options.hpp"
#include "snipestall/wire/spawn.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace snipestall::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using std::chrono::milliseconds;
using wire::Task;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t MaxHeadBytes = 64 * 1024;
/// Idle timeout of servers that do not state one.
constexpr std::chrono::seconds DefaultIdleTimeout { 20 };
/// A connection is dropped this long before the server would close it, so that no request is sent
/// while the server closes the connection.
constexpr milliseconds IdleMargin { 700 };
constexpr milliseconds WriteTick { 2 };
/// Bytes of an answer to another request that are read before the answer. A faulty server may send
/// them without end.
constexpr std::size_t MaxDiscardedBytes = 512 * 1024;

/// Returns how long the connection may stay idle. The server states its timeout in whole seconds.
milliseconds idleTimeoutOf(const http::fields &fields)
{
    const auto found = fields.find(http::field::keep_alive);
    if (found == fields.end())
        return DefaultIdleTimeout;
    const std::string_view value(found->value().data(), found->value().size());
    constexpr std::string_view Name = "timeout=";
    const std::size_t at = value.find(Name);
    if (at == std::string_view::npos)
        return DefaultIdleTimeout;
    int seconds = 0;
    const char *from = value.data() + at + Name.size();
    if (std::from_chars(from, value.data() + value.size(), seconds).ec != std::errc())
        return DefaultIdleTimeout;
    return std::max(milliseconds(std::chrono::seconds(seconds)) - IdleMargin, milliseconds(0));
}

} // namespace

BackendCall::BackendCall(asio::io_context &io, BackendPool &pool, const Clock &clock,
                         std::string server, wire::Endpoint address)
    : m_io(io)
    , m_pool(pool)
    , m_clock(clock)
    , m_server(std::move(server))
    , m_address(std::move(address))
    , m_lastReceivedAt(clock.steadyNow())
{ }

BackendCall::~BackendCall() = default;

void BackendCall::setDeadline(SteadyTime deadline)
{
    // The timers of the stream use the monotonic clock; `deadline` is a time of the clock that
    // includes suspension.
    m_connection->stream.expires_after(deadline - m_clock.steadyNow());
}

Task<bool> BackendCall::connect(milliseconds timeout)
{
    m_connection = m_pool.take(m_server, m_clock.steadyNow());
    if (m_connection != nullptr)
        co_return !m_aborted;
    m_connection = std::make_unique<BackendConnection>(m_io);
    beast::error_code bad;
    const asio::ip::tcp::endpoint remote(asio::ip::make_address(m_address.host, bad),
                                         m_address.port);
    m_connection->stream.socket().open(remote.protocol(), bad);
    wire::limitUnreadBytes(m_connection->stream.socket());
    m_connection->stream.expires_after(timeout);
    auto [error] = co_await m_connection->stream.async_connect(remote, UseTuple);
    m_refused = error == asio::error::connection_refused;
    m_connectionRejected = m_refused || error == asio::error::connection_reset;
    if (error || m_aborted)
        co_return false;
    wire::detectLostPeer(m_connection->stream.socket());
    wire::resetOnClose(m_connection->stream.socket());
    co_return true;
}

Task<void> BackendCall::writeRequest(std::shared_ptr<BackendCall> call)
{
    auto [error, bytes] =
        co_await http::async_write(call->m_connection->stream, call->m_request, UseTuple);
    call->m_writeState = error ? WriteState::Failed : WriteState::Written;
}

void BackendCall::resetParser()
{
    m_parser.emplace();
    m_parser->body_limit(boost::none);
    m_parser->header_limit(MaxHeadBytes);
    if (m_request.method() == http::verb::head)
        m_parser->skip(true);
}

Task<boost::system::error_code> BackendCall::readHead(SteadyTime deadline)
{
    int interim = 0;
    while (interim <= wire::MaxInterimResponses) {
        resetParser();
        setDeadline(deadline);
        if (const auto error =
                co_await wire::readMessage(m_connection->stream, m_connection->buffer, *m_parser))
            co_return error;
        m_lastReceivedAt = m_clock.steadyNow();
        const unsigned status = m_parser->head().result_int();
        if (status == wire::SwitchingProtocols)
            break;
        if (status < wire::FirstFinalStatus) {
            ++interim;
            continue;
        }
        if (m_headObserver)
            m_headObserver(m_parser->head());
        const auto answer = platform::readServerResponse(status, m_parser->head());
        if (answer.attemptId == m_attemptId)
            co_return beast::error_code();
        // An answer without an attempt id can't be distinguished from the answer to another
        // request.
        if (answer.attemptId.empty() || m_parser->need_eof())
            co_return http::make_error_code(http::error::bad_field);
        if (const auto broken = co_await discardBody(deadline))
            co_return broken;
    }
    co_return http::make_error_code(http::error::bad_status);
}

Task<boost::system::error_code> BackendCall::discardBody(SteadyTime deadline)
{
    std::size_t discarded = 0;
    while (discarded <= MaxDiscardedBytes) {
        const BodyRead piece = co_await readBody(deadline);
        if (piece.kind == BodyRead::Kind::End)
            co_return beast::error_code();
        if (piece.kind != BodyRead::Kind::Bytes)
            co_return http::make_error_code(http::error::partial_message);
        discarded += piece.bytes.size();
    }
    co_return http::make_error_code(http::error::body_limit);
}

Task<CallStart> BackendCall::start(Request request, std::string attemptId,
                                   milliseconds connectTimeout, SteadyTime deadline,
                                   IsWanted isWanted)
{
    m_request = std::move(request);
    m_attemptId = std::move(attemptId);
    const bool connected = co_await connect(connectTimeout);
    if (!isWanted()) {
        releaseUnsent(connected);
        co_return CallStart::Unwanted;
    }
    if (!connected)
        co_return CallStart::Unreachable;
    m_maybeSent = true;
    m_lastReceivedAt = m_clock.steadyNow();
    setDeadline(deadline);
    // The server may answer before it has read a long body, so the answer is awaited while the body
    // is written.
    wire::spawn(m_io, writeRequest(shared_from_this()), "request-write");
    const boost::system::error_code error = co_await readHead(deadline);
    if (!error && !m_aborted)
        co_return CallStart::Answered;
    logUnreadable(error);
    abort();
    co_return error == beast::error::timeout ? CallStart::TimedOut : CallStart::Lost;
}

void BackendCall::logUnreadable(const boost::system::error_code &error) const
{
    const auto &parserErrors = http::make_error_code(http::error::end_of_stream).category();
    if (m_aborted || error.category() != parserErrors || error == http::error::end_of_stream
        || error == http::error::partial_message)
        return;
    logEvent(events::ServerAnswerUnreadable,
             { { "server", m_server }, { "attempt", m_attemptId }, { "error", error.message() } });
}

void BackendCall::releaseUnsent(bool connected)
{
    const bool reusable = connected && !m_aborted && m_clock.steadyNow() < m_connection->idleUntil;
    if (reusable)
        m_pool.giveBack(m_server, std::move(m_connection));
    else
        abort();
}

std::size_t BackendCall::announcedBytes() const
{
    return static_cast<std::size_t>(m_parser->content_length().value_or(0));
}

Task<BodyRead> BackendCall::readBody(SteadyTime deadline)
{
    while (true) {
        // Bytes that arrived before the attempt was ended are not passed on: another attempt may
        // have been chosen by what the caller had then.
        if (m_aborted)
            co_return BodyRead { BodyRead::Kind::Broken, {} };
        std::string bytes = m_parser->takeBody();
        if (!bytes.empty())
            co_return BodyRead { BodyRead::Kind::Bytes, std::move(bytes) };
        if (m_parser->is_done())
            break;
        setDeadline(deadline);
        const boost::system::error_code error =
            co_await wire::readMessage(m_connection->stream, m_connection->buffer, *m_parser);
        m_lastReceivedAt = m_clock.steadyNow();
        if (error) {
            logUnreadable(error);
            abort();
            co_return BodyRead { error == beast::error::timeout ? BodyRead::Kind::TimedOut
                                                                : BodyRead::Kind::Broken,
                                 {} };
        }
    }
    if (!isFramed() && !co_await awaitWritten(deadline)) {
        const bool timedOut = !m_aborted && m_writeState == WriteState::Pending;
        abort();
        co_return BodyRead { timedOut ? BodyRead::Kind::TimedOut : BodyRead::Kind::Broken, {} };
    }
    const auto answer =
        platform::readServerResponse(m_parser->head().result_int(), m_parser->head());
    if (answer.attemptId == m_attemptId)
        keepConnection();
    co_return BodyRead { BodyRead::Kind::End, {} };
}

// A server may end its answer before it has read a long request, so a write that is still pending
// doesn't show yet whether the connection was reset.
Task<bool> BackendCall::awaitWritten(SteadyTime deadline)
{
    while (m_writeState == WriteState::Pending && !m_aborted && m_clock.steadyNow() < deadline)
        co_await wire::sleepFor(WriteTick);
    co_return m_writeState == WriteState::Written && !m_aborted;
}

void BackendCall::keepConnection()
{
    const bool whole = m_writeState == WriteState::Written && m_connection->buffer.size() == 0;
    if (m_aborted || !whole || !m_parser->keep_alive() || m_parser->need_eof()) {
        abort();
        return;
    }
    m_connection->idleUntil = m_clock.steadyNow() + idleTimeoutOf(m_parser->head());
    m_pool.giveBack(m_server, std::move(m_connection));
}

void BackendCall::abort()
{
    m_aborted = true;
    if (m_connection != nullptr)
        m_connection->stream.close();
}

} // namespace snipestall::gateway
