#pragma once

#include "snipestall/gateway/backend_connection.hpp"
#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/message_parser.hpp"
#include "snipestall/wire/shared_body.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/beast/http/message.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace snipestall::gateway {

class BackendPool;

/// Result of sending a request and waiting for the head of its answer.
enum class CallStart {
    /// The head of the answer has been read.
    Answered,
    /// No connection could be opened, so no byte was sent.
    Unreachable,
    /// The request may have run, but its answer will not arrive.
    Lost,
    /// The request may have run, but its answer did not begin before the deadline.
    TimedOut,
    /// No byte was sent, because the request was no longer wanted.
    Unwanted,
};

/// Result of reading one piece of an answer's body.
struct BodyRead
{
    enum class Kind {
        Bytes,
        End,
        Broken,
        TimedOut,
    };
    Kind kind = Kind::Broken;
    std::string bytes;
};

/// One request to one backend server and the server's answer, which is read piece by piece.
///
/// Failures it guards against: an answer to an earlier request arrives late on a reused connection
/// (it is recognized by the attempt id that servers echo, and dropped); an answer arrives before
/// the request's body is written (the connection is not reused); bytes follow the end of an answer
/// (the connection is not reused); the connection is reset while the request is being written, and
/// the write takes the error that the socket reports once, so that a read finds the end of the
/// stream (an answer without a length is then not complete).
class BackendCall : public std::enable_shared_from_this<BackendCall>
{
public:
    using Request = boost::beast::http::request<wire::SharedBody>;
    using Head = boost::beast::http::response_header<>;

    BackendCall(boost::asio::io_context &io, BackendPool &pool, const Clock &clock,
                std::string server, wire::Endpoint address);
    ~BackendCall();

    /// Returns whether the request is still to be sent. It is called right before the first byte is
    /// sent.
    using IsWanted = std::function<bool()>;

    /// Called with the head of each answer of the server that is read, also if the answer is to
    /// another request or nobody waits for it any more.
    using HeadObserver = std::function<void(const Head &)>;
    void setHeadObserver(HeadObserver observer) { m_headObserver = std::move(observer); }

    /// Sends the request and reads the head of the answer.
    wire::Task<CallStart> start(Request request, std::string attemptId,
                                std::chrono::milliseconds connectTimeout, SteadyTime deadline,
                                IsWanted isWanted);
    [[nodiscard]] const Head &head() const { return m_parser->head(); }
    /// Length of the answer's body as the server has announced it; 0 if it has not.
    [[nodiscard]] std::size_t announcedBytes() const;
    /// Returns whether the answer itself says where it ends, rather than the end of its connection.
    [[nodiscard]] bool isFramed() const { return !m_parser->need_eof(); }
    wire::Task<BodyRead> readBody(SteadyTime deadline);
    /// Closes the connection, which makes the server drop the request. Pending operations return.
    void abort();
    /// Returns true if the connection was refused: no process listens at the server's address.
    [[nodiscard]] bool refused() const { return m_refused; }
    /// Returns true if the connection was refused or reset while it was being opened. A server that
    /// is shutting down resets connections that it has not accepted yet.
    [[nodiscard]] bool connectionRejected() const { return m_connectionRejected; }
    /// Returns true if a byte of the request may have reached the server.
    [[nodiscard]] bool maybeSent() const { return m_maybeSent; }
    /// Time at which the last byte of the answer arrived; the time of the send if none has arrived.
    [[nodiscard]] SteadyTime lastReceivedAt() const { return m_lastReceivedAt; }

private:
    using Parser = wire::MessageParser<false>;

    enum class WriteState { Pending, Written, Failed };

    wire::Task<bool> connect(std::chrono::milliseconds timeout);
    static wire::Task<void> writeRequest(std::shared_ptr<BackendCall> call);
    wire::Task<boost::system::error_code> readHead(SteadyTime deadline);
    wire::Task<boost::system::error_code> discardBody(SteadyTime deadline);
    /// Waits until the request is written or can't be. Returns whether it is.
    wire::Task<bool> awaitWritten(SteadyTime deadline);
    /// Returns an unused connection to the pool if it can be reused, and closes it otherwise.
    void releaseUnsent(bool connected);
    void logUnreadable(const boost::system::error_code &error) const;
    void resetParser();
    void keepConnection();
    void setDeadline(SteadyTime deadline);

    boost::asio::io_context &m_io;
    BackendPool &m_pool;
    const Clock &m_clock;
    std::string m_server;
    wire::Endpoint m_address;
    Request m_request;
    BackendConnectionPtr m_connection;
    std::optional<Parser> m_parser;
    std::string m_attemptId;
    HeadObserver m_headObserver;
    SteadyTime m_lastReceivedAt;
    bool m_maybeSent = false;
    bool m_refused = false;
    bool m_connectionRejected = false;
    WriteState m_writeState = WriteState::Pending;
    bool m_aborted = false;
};

} // namespace snipestall::gateway
