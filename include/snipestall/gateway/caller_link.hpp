#pragma once

#include "snipestall/serving/traffic_limits.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace snipestall::gateway {

/// What came of waiting for a caller's next request.
enum class RequestRead {
    Ok,
    /// The connection ended or stayed idle for too long.
    Closed,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    /// The header did not arrive in time.
    HeaderTimeout,
};

/// One connection of a caller, which may carry many requests.
class CallerLink : public std::enable_shared_from_this<CallerLink>
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Answer = boost::beast::http::response<boost::beast::http::string_body>;

    explicit CallerLink(boost::asio::ip::tcp::socket socket);

    wire::Task<RequestRead> readRequest(serving::TrafficLimits limits);
    /// The request that was read last.
    [[nodiscard]] Request &request() { return m_request; }

    /// Calls back once if the caller closes its connection before `stopWatching`.
    void watchLeaving(std::function<void()> left);
    void stopWatching() { m_left = nullptr; }
    /// Whether the caller has closed its connection, also if nothing has told so yet.
    [[nodiscard]] bool hasLeft();

    /// False if the caller could not be reached.
    wire::Task<bool> write(Answer answer);
    /// Begins an answer whose length is not known yet.
    wire::Task<bool> beginStream(boost::beast::http::response_header<> head);
    wire::Task<bool> writePiece(std::string piece);
    wire::Task<bool> endStream();

    /// Closes at once; what awaits returns.
    void close();
    /// Between two requests.
    [[nodiscard]] bool idle() const { return m_idle; }
    /// Waits for a next request no longer; one that has come is still read.
    void stopWaiting() { m_stream.cancel(); }

private:
    /// Reads the first bytes of the next request; false if none come.
    wire::Task<bool> awaitBytes(std::chrono::milliseconds timeout);
    void armWatch();
    void onReadable();
    void watchLater();

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    Request m_request;
    std::function<void()> m_left;
    boost::asio::steady_timer m_watchTimer;
    bool m_watchArmed = false;
    bool m_idle = false;
    bool m_closed = false;
};

} // namespace snipestall::gateway
