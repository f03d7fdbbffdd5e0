#include "snipestall/gateway/caller_connection.hpp"

#include "snipestall/gateway/connection_registry.hpp"
#include "snipestall/serving/connection_ledger.hpp"
#include "snipestall/wire/answer_body.hpp"
#include "snipestall/wire/discard.hpp"
#include "snipestall/wire/message_reader.hpp"
#include "snipestall/wire/signal.hpp"
#include "snipestall/wire/socket_options.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace snipestall::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using wire::Task;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
using serving::ConnectionStage;

/// Longest time that a caller may take to accept one piece of an answer.
constexpr std::chrono::seconds WriteTimeout { 10 };
constexpr std::size_t FirstReadBytes = 4096;
/// Time in which requests that bring nothing are found out and give up their memory. A client gives
/// up a request that isn't read for a second.
constexpr std::chrono::milliseconds MemoryWait { 400 };
constexpr std::chrono::milliseconds MemoryWaitTick { 20 };
/// Bodies up to this size are read without a look at their head.
constexpr std::size_t UncheckedBytes = std::size_t(16) * 1024;
/// Limit of what is read and discarded before a connection is closed. A caller that sends on gets
/// a reset then.
constexpr std::size_t MaxDiscardedBytes = 16 * 1024 * 1024;
/// Interval at which a caller that has sent its next request early is checked for a disconnect.
constexpr std::chrono::milliseconds WatchInterval { 100 };
/// Time in which bytes that have arrived are read although the time of the read is over.
constexpr std::chrono::milliseconds LateReadTime { 100 };

RequestRead toRequestRead(const beast::error_code &error)
{
    if (error == http::error::header_limit)
        return RequestRead::HeaderTooLarge;
    if (error == http::error::body_limit)
        return RequestRead::BodyTooLarge;
    const auto &parserErrors = http::make_error_code(http::error::end_of_stream).category();
    const bool ended = error == http::error::end_of_stream || error == http::error::partial_message
        || error.category() != parserErrors;
    return ended ? RequestRead::Closed : RequestRead::Malformed;
}

/// How long a connection may wait for its next request.
std::chrono::milliseconds keptTime(const serving::TrafficLimits &limits)
{
    return std::max(limits.idleTimeout, limits.keptAtLeast);
}

/// Returns whether the framing is unambiguous. If this gateway and a backend server delimited a
/// request differently, its body could contain a second request.
bool isFramingUnambiguous(const CallerConnection::RequestParser &parser)
{
    const auto &fields = parser.head();
    if (fields.count(http::field::content_length) > 1 || fields.count(http::field::host) != 1
        || fields.count(http::field::transfer_encoding) > 1)
        return false;
    const auto encoding = fields.find(http::field::transfer_encoding);
    if (encoding == fields.end())
        return true;
    return beast::iequals(encoding->value(), "chunked")
        && fields.find(http::field::content_length) == fields.end();
}

} // namespace

CallerConnection::CallerConnection(tcp::socket socket, std::shared_ptr<ConnectionRegistry> registry)
    : m_registry(std::move(registry))
    , m_id(m_registry->add(*this))
    , m_stream(std::move(socket))
    , m_watchTimer(m_stream.get_executor())
    , m_idleTimer(m_stream.get_executor())
    , m_readTimer(m_stream.get_executor())
{
    wire::detectLostPeer(m_stream.socket(), WriteTimeout);
}

CallerConnection::~CallerConnection()
{
    m_registry->remove(m_id);
}

// Failures: the limit is raised while a connection is idle, and callers that go by the new one use
// a connection that is closed by the old one. And a timer that closes the socket itself drops a
// request that has arrived and is not read yet. So the limit is read again when the time is up, and
// then the wait is cancelled, which reads what has arrived.
void CallerConnection::watchIdleTime()
{
    m_idleTimer.expires_at(m_idleSince + keptTime(m_limits()));
    m_idleTimer.async_wait([self = shared_from_this()](const beast::error_code &error) {
        if (error || !self->m_idle)
            return;
        if (std::chrono::steady_clock::now() < self->m_idleSince + keptTime(self->m_limits()))
            self->watchIdleTime();
        else
            self->cancelIdleWait();
    });
}

Task<bool> CallerConnection::awaitBytes()
{
    m_stream.expires_never();
    m_registry->enter(m_id, ConnectionStage::Idle);
    while (true) {
        m_idle = true;
        m_idleSince = std::chrono::steady_clock::now();
        watchIdleTime();
        auto [error, bytes] =
            co_await m_stream.async_read_some(m_buffer.prepare(FirstReadBytes), UseTuple);
        m_idle = false;
        m_idleTimer.cancel();
        if (!error) {
            m_buffer.commit(bytes);
            co_return true;
        }
        const bool stopped = error == asio::error::operation_aborted && !m_closed;
        if (!stopped || wire::isIdleAndOpen(m_stream.socket()))
            co_return false;
    }
}

// Failures: the timer of the stream closes the socket. So the caller that was too slow got a closed
// connection instead of the answer that says so, and a request that had arrived while the loop was
// late was dropped unread.
void CallerConnection::limitRead(std::chrono::milliseconds timeout)
{
    m_readLate = false;
    armReadTimer(timeout);
}

void CallerConnection::armReadTimer(std::chrono::milliseconds timeout)
{
    m_readTimer.expires_after(timeout);
    m_readTimer.async_wait(
        [self = shared_from_this(), read = ++m_limitedRead](const beast::error_code &error) {
            if (error || read != self->m_limitedRead || self->m_closed)
                return;
            if (wire::isIdleAndOpen(self->m_stream.socket())) {
                self->m_readLate = true;
                self->m_stream.cancel();
            }
            // Nothing is cancelled if a read has completed and is not handled yet.
            self->armReadTimer(LateReadTime);
        });
}

void CallerConnection::endReadLimit()
{
    ++m_limitedRead;
    m_readTimer.cancel();
}

RequestRead CallerConnection::readFault(const beast::error_code &error) const
{
    if (error == asio::error::operation_aborted && m_readLate && !m_closed)
        return RequestRead::HeaderTimeout;
    return toRequestRead(error);
}

Task<RequestRead> CallerConnection::readRequest(Limits limitsInForce, HeadCheck checkHead)
{
    m_limits = std::move(limitsInForce);
    m_checkHead = std::move(checkHead);
    if (m_buffer.size() == 0 && !co_await awaitBytes())
        co_return RequestRead::Closed;
    const serving::TrafficLimits limits = m_limits();
    m_registry->setLargestBody(limits.maxBodyBytes);
    m_registry->enter(m_id, ConnectionStage::Arriving);
    m_reading = true;
    RequestParser parser;
    std::string body;
    const RequestRead read = co_await readWhole(parser, limits, body);
    m_reading = false;
    m_request = Request(parser.takeHead());
    if (read == RequestRead::Ok) {
        m_request.body() = std::make_shared<const std::string>(std::move(body));
        m_registry->enter(m_id, ConnectionStage::Running);
    } else {
        body = {};
        m_registry->release(m_id);
    }
    if (m_readingStopped && (read == RequestRead::Closed || read == RequestRead::HeaderTimeout))
        co_return *m_readingStopped;
    co_return read;
}

void CallerConnection::dropRequest()
{
    m_request = {};
    m_registry->release(m_id);
}

void CallerConnection::stopReading(RequestRead reason)
{
    if (!m_reading || m_readingStopped)
        return;
    m_readingStopped = reason;
    m_stream.cancel();
}

void CallerConnection::closeForOthers()
{
    const auto disconnected = std::exchange(m_onDisconnect, nullptr);
    close();
    // The request that runs is given up as if its caller had left.
    if (disconnected)
        disconnected();
}

void CallerConnection::giveUp(ConnectionStage stage, Shortage shortage)
{
    // A request whose first bytes have arrived meanwhile is read.
    if (stage == ConnectionStage::Idle)
        cancelIdleWait();
    else if (stage == ConnectionStage::Arriving && shortage == Shortage::Memory)
        stopReading(RequestRead::NoMemory);
    else
        closeForOthers();
}

Task<RequestRead> CallerConnection::readWhole(RequestParser &parser, serving::TrafficLimits limits,
                                              std::string &body)
{
    parser.header_limit(limits.maxHeaderBytes);
    parser.body_limit(limits.maxBodyBytes);
    m_stream.expires_never();
    limitRead(limits.headerTimeout);
    const beast::error_code headError = co_await wire::readMessage(m_stream, m_buffer, parser);
    endReadLimit();
    if (headError)
        co_return readFault(headError);
    if (!isFramingUnambiguous(parser))
        co_return RequestRead::Malformed;
    co_return co_await readBody(parser, limits, body);
}

Task<bool> CallerConnection::awaitMemory(std::size_t bytes)
{
    const std::shared_ptr<bool> place = m_registry->beginWaiting();
    const auto until = std::chrono::steady_clock::now() + MemoryWait;
    bool found = false;
    while (*place && !found && !m_readingStopped && std::chrono::steady_clock::now() < until) {
        co_await wire::sleepFor(MemoryWaitTick);
        found = !m_readingStopped && m_registry->holdInTurn(place, m_id, bytes);
    }
    m_registry->endWaiting(place);
    co_return found;
}

Task<bool> CallerConnection::askForBody()
{
    static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    m_stream.expires_after(WriteTimeout);
    auto [error, bytes] = co_await asio::async_write(
        m_stream, asio::buffer(Continue.data(), Continue.size()), UseTuple);
    m_stream.expires_never();
    co_return !error;
}

// The idle time limits each pause within a body. The time of the whole body is that of the request:
// a slow caller may send a large one.
Task<RequestRead> CallerConnection::readBody(RequestParser &parser, serving::TrafficLimits limits,
                                             std::string &body)
{
    const auto begun = std::chrono::steady_clock::now();
    const std::size_t announced = parser.content_length().value_or(0);
    const bool waits = beast::iequals(parser.head()[http::field::expect], "100-continue");
    std::optional<BodyTerms> terms;
    std::size_t booked = 0;
    while (!parser.is_done()) {
        if (m_readingStopped)
            co_return RequestRead::Closed;
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - begun);
        const bool large = std::max(announced, body.size()) > UncheckedBytes;
        if (!terms && (waits || large || elapsed > limits.headerTimeout)) {
            terms = m_checkHead(parser.head());
            if (terms->refusal) {
                m_refusal = *terms->refusal;
                co_return RequestRead::Refused;
            }
            if (waits && !co_await askForBody())
                co_return RequestRead::Closed;
        }
        if (terms && elapsed >= terms->time)
            co_return RequestRead::HeaderTimeout;
        limitRead(terms ? std::min(limits.idleTimeout, terms->time - elapsed) : limits.idleTimeout);
        const beast::error_code error = co_await wire::readMessage(m_stream, m_buffer, parser);
        endReadLimit();
        if (error)
            co_return readFault(error);
        const std::string piece = parser.takeBody();
        const std::size_t arrived = body.size() + piece.size();
        m_registry->arrived(m_id, arrived);
        if (arrived > booked && m_registry->mayHoldNow(arrived)
            && m_registry->hold(m_id, arrived)) {
            booked = arrived;
        } else if (arrived > booked) {
            // A request that has waited for memory gets all that it needs: otherwise many wait for
            // each other, each with a part of its body.
            booked = std::max(announced, 2 * arrived);
            if (!co_await awaitMemory(booked))
                co_return RequestRead::NoMemory;
        }
        // What was announced takes no memory before it arrives.
        if (body.empty())
            body.reserve(announced);
        body += piece;
    }
    co_return RequestRead::Ok;
}

void CallerConnection::watchForDisconnect(std::function<void()> disconnected)
{
    m_onDisconnect = std::move(disconnected);
    if (!m_watchArmed)
        armWatch();
}

bool CallerConnection::hasDisconnected()
{
    return m_closed || wire::peerHasClosed(m_stream.socket());
}

void CallerConnection::armWatch()
{
    m_watchArmed = true;
    m_stream.socket().async_wait(tcp::socket::wait_read,
                                 [self = shared_from_this()](const beast::error_code &error) {
                                     self->m_watchArmed = false;
                                     if (!error)
                                         self->onReadable();
                                 });
}

void CallerConnection::scheduleWatch()
{
    m_watchArmed = true;
    m_watchTimer.expires_after(WatchInterval);
    m_watchTimer.async_wait([self = shared_from_this()](const beast::error_code &error) {
        self->m_watchArmed = false;
        if (!error)
            self->onReadable();
    });
}

void CallerConnection::onReadable()
{
    if (m_onDisconnect == nullptr || m_closed)
        return;
    if (hasDisconnected()) {
        std::exchange(m_onDisconnect, nullptr)();
        return;
    }
    // Bytes of the next request stay unread until this one is answered. The socket is then always
    // readable, so it does not signal that the caller leaves.
    if (wire::isIdleAndOpen(m_stream.socket()))
        armWatch();
    else
        scheduleWatch();
}

bool CallerConnection::holdAnswer(std::size_t bytes)
{
    const auto request = static_cast<std::size_t>(wire::SharedBody::size(m_request.body()));
    return m_registry->hold(m_id, request + bytes);
}

Task<bool> CallerConnection::write(Answer answer)
{
    if (!wire::hasBody(m_request.method(), answer.result_int())) {
        answer.body().clear();
        wire::eraseBodyFields(answer.result_int(), answer);
    }
    m_registry->enter(m_id, ConnectionStage::Answering);
    m_stream.expires_after(WriteTimeout);
    auto [error, bytes] = co_await http::async_write(m_stream, answer, UseTuple);
    co_return !error;
}

Task<bool> CallerConnection::beginStream(http::response_header<> head)
{
    http::response<http::empty_body> message(std::move(head));
    m_writesBody = wire::hasBody(m_request.method(), message.result_int());
    if (m_writesBody)
        message.chunked(true);
    else
        wire::eraseBodyFields(message.result_int(), message);
    http::response_serializer<http::empty_body> serializer(message);
    m_stream.expires_after(WriteTimeout);
    auto [error, bytes] = co_await http::async_write_header(m_stream, serializer, UseTuple);
    co_return !error;
}

Task<bool> CallerConnection::writePiece(std::string piece)
{
    if (piece.empty() || !m_writesBody)
        co_return !m_closed;
    m_registry->enter(m_id, ConnectionStage::Answering);
    m_stream.expires_after(WriteTimeout);
    const auto chunk = http::make_chunk(asio::buffer(piece));
    auto [error, bytes] = co_await asio::async_write(m_stream, chunk, UseTuple);
    m_registry->enter(m_id, ConnectionStage::Running);
    co_return !error;
}

Task<bool> CallerConnection::endStream()
{
    if (!m_writesBody)
        co_return !m_closed;
    m_stream.expires_after(WriteTimeout);
    const auto last = http::make_chunk_last();
    auto [error, bytes] = co_await asio::async_write(m_stream, last, UseTuple);
    co_return !error;
}

std::size_t CallerConnection::unreadBytes()
{
    beast::error_code closed;
    return m_stream.socket().available(closed);
}

bool CallerConnection::hasUnread()
{
    return m_buffer.size() > 0 || unreadBytes() > 0;
}

// The kernel resets a connection that is closed with unread bytes, and the reset destroys an answer
// that the caller has not received yet.
Task<void> CallerConnection::awaitClose()
{
    if (m_closed)
        co_return;
    m_registry->enter(m_id, ConnectionStage::Closing);
    co_await wire::discardRest(m_stream, MaxDiscardedBytes);
}

void CallerConnection::close()
{
    m_closed = true;
    m_onDisconnect = nullptr;
    m_watchTimer.cancel();
    m_idleTimer.cancel();
    m_readTimer.cancel();
    m_stream.close();
}

} // namespace snipestall::gateway
