#pragma once

#include "snipestall/gateway/head_check.hpp"
#include "snipestall/serving/traffic_limits.hpp"
#include "snipestall/wire/message_parser.hpp"
#include "snipestall/wire/shared_body.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace snipestall::serving {
enum class ConnectionStage;
} // namespace snipestall::serving

namespace snipestall::gateway {

class ConnectionRegistry;

/// Result of reading the next request of a caller.
enum class RequestRead {
    Ok,
    /// The connection was closed or stayed idle for too long.
    Closed,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    /// The header did not arrive in time.
    HeaderTimeout,
    /// The process ends before the request has arrived in full.
    Stopped,
    /// All connections together hold as much as the machine can take.
    NoMemory,
    /// The request is refused by its head.
    Refused,
};

/// How the body of a request is read.
struct BodyTerms
{
    /// Set if the request is refused whatever its body is.
    std::optional<HeadRefusal> refusal;
    /// Time that the whole body may take.
    std::chrono::milliseconds time { 0 };
};

/// What an instance is short of.
enum class Shortage {
    Memory,
    Descriptors,
};

/// One connection of a caller, which may carry several requests, one after the other.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    using Request = boost::beast::http::request<wire::SharedBody>;
    using RequestParser = wire::MessageParser<true>;
    using Answer = boost::beast::http::response<boost::beast::http::string_body>;

    CallerConnection(boost::asio::ip::tcp::socket socket,
                     std::shared_ptr<ConnectionRegistry> registry);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    using Limits = std::function<serving::TrafficLimits()>;
    /// Returns what is known of a request by its head. It is asked for large bodies, those without
    /// an announced length and slow ones, before they are read further.
    using HeadCheck = std::function<BodyTerms(const Request::header_type &)>;
    /// `limits` returns those in force at the moment: they may change while the connection is idle.
    wire::Task<RequestRead> readRequest(Limits limits, HeadCheck checkHead);
    /// Why the request that was read last is refused by its head.
    [[nodiscard]] const HeadRefusal &refusal() const { return m_refusal; }
    /// The request that was read last; only its head if it could not be read whole.
    [[nodiscard]] Request &request() { return m_request; }

    /// Drops the request that was read last, after its answer.
    void dropRequest();

    /// Calls `disconnected` once if the caller closes its connection before `stopWatching` is
    /// called.
    void watchForDisconnect(std::function<void()> disconnected);
    void stopWatching() { m_onDisconnect = nullptr; }
    /// Returns whether the caller has closed its connection, even if no callback has reported it
    /// yet.
    [[nodiscard]] bool hasDisconnected();

    /// Number of bytes that have arrived and that nobody has read.
    [[nodiscard]] std::size_t unreadBytes();
    /// Returns whether the caller has sent bytes behind the request that was read last.
    [[nodiscard]] bool hasUnread();

    /// Books the bytes of the answer that are held for the caller, beside its request. Returns
    /// false if there is no memory for them.
    bool holdAnswer(std::size_t bytes);

    /// Writes a whole answer; returns false if the caller could not be reached.
    wire::Task<bool> write(Answer answer);
    /// Writes the head of an answer whose length is not known yet.
    wire::Task<bool> beginStream(boost::beast::http::response_header<> head);
    wire::Task<bool> writePiece(std::string piece);
    wire::Task<bool> endStream();

    /// Ends the connection after a whole answer: nothing more is sent, and what still arrives is
    /// discarded until the caller closes, for a short time at most.
    wire::Task<void> awaitClose();
    /// Closes the connection at once. Pending operations return.
    void close();
    /// Returns true while the connection waits for the next request.
    [[nodiscard]] bool idle() const { return m_idle; }
    /// Stops waiting for the next request. A request whose first bytes have arrived is still read.
    void cancelIdleWait() { m_stream.cancel(); }
    /// Stops reading a request that has arrived in part, because the process ends.
    void stopReading() { stopReading(RequestRead::Stopped); }
    /// Ends what the connection does in this stage, so that others can be served.
    void giveUp(serving::ConnectionStage stage, Shortage shortage);

private:
    void stopReading(RequestRead reason);
    void closeForOthers();
    wire::Task<RequestRead> readWhole(RequestParser &parser, serving::TrafficLimits limits,
                                      std::string &body);
    wire::Task<RequestRead> readBody(RequestParser &parser, serving::TrafficLimits limits,
                                     std::string &body);
    /// Waits, for a short time at most, until the connection may hold so many bytes.
    wire::Task<bool> awaitMemory(std::size_t bytes);
    /// Tells a caller that waits for it to send the body. Returns whether it could be reached.
    wire::Task<bool> askForBody();
    /// Reads the first bytes of the next request; returns false if none arrive.
    wire::Task<bool> awaitBytes();
    /// Ends the idle wait once the connection has been idle for as long as the limit in force says.
    void watchIdleTime();
    /// Ends the read that is about to begin if nothing arrives in time. The connection stays open,
    /// so that the caller can be told.
    void limitRead(std::chrono::milliseconds timeout);
    void armReadTimer(std::chrono::milliseconds timeout);
    void endReadLimit();
    /// How a read ended.
    [[nodiscard]] RequestRead readFault(const boost::system::error_code &error) const;
    void armWatch();
    void onReadable();
    void scheduleWatch();

    std::shared_ptr<ConnectionRegistry> m_registry;
    std::uint64_t m_id;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    Request m_request;
    std::function<void()> m_onDisconnect;
    boost::asio::steady_timer m_watchTimer;
    Limits m_limits;
    HeadCheck m_checkHead;
    HeadRefusal m_refusal;
    boost::asio::steady_timer m_idleTimer;
    std::chrono::steady_clock::time_point m_idleSince;
    boost::asio::steady_timer m_readTimer;
    /// Number of the last limited read, and whether its time has passed.
    std::uint64_t m_limitedRead = 0;
    bool m_readLate = false;
    bool m_watchArmed = false;
    bool m_idle = false;
    bool m_reading = false;
    /// Why a request that has arrived in part is not read further.
    std::optional<RequestRead> m_readingStopped;
    /// Whether the answer that is being written has a body.
    bool m_writesBody = true;
    bool m_closed = false;
};

} // namespace snipestall::gateway
