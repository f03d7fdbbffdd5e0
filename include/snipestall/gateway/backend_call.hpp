#pragma once

#include "snipestall/gateway/backend_link.hpp"
#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace snipestall::gateway {

class BackendPool;

/// How the first part of a call ended.
enum class CallStart {
    /// The head of the answer is there.
    Answered,
    /// No byte was sent.
    Unreachable,
    /// The request may have run; its answer will not come.
    Lost,
    /// As Lost, at the time limit.
    TimedOut,
    /// No byte was sent, because nobody waits for the answer any more.
    Unwanted,
};

/// One piece of an answer's body.
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

/// One request to one backend server, and its answer as it comes.
///
/// Failures it guards against: an answer to an earlier request that arrives late on a kept
/// connection (told by the attempt id that servers echo, and dropped); an answer that comes before
/// the request's body is written (the connection is not used again); bytes beyond an answer (same).
class BackendCall : public std::enable_shared_from_this<BackendCall>
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Head = boost::beast::http::response_header<>;

    BackendCall(boost::asio::io_context &io, BackendPool &pool, const Clock &clock,
                std::string server, wire::Endpoint address);
    ~BackendCall();

    /// Whether the request is to be sent; asked right before its first byte.
    using Wanted = std::function<bool()>;

    /// Sends the request and reads the answer's head.
    wire::Task<CallStart> start(Request request, std::string attemptId,
                                std::chrono::milliseconds connectTimeout, SteadyTime until,
                                Wanted wanted);
    [[nodiscard]] const Head &head() const { return m_parser->get(); }
    wire::Task<BodyRead> readBody(SteadyTime until);
    /// Closes the connection, which makes the server drop the request. What awaits returns.
    void abort();
    /// Nobody listens at the server's address.
    [[nodiscard]] bool refused() const { return m_refused; }
    /// The same, or the server took no connection: one that is ending resets those that wait.
    [[nodiscard]] bool turnedAway() const { return m_turnedAway; }
    /// A byte of the request may have reached the server.
    [[nodiscard]] bool maybeSent() const { return m_maybeSent; }
    /// When the last byte of the answer arrived, or the request was sent.
    [[nodiscard]] SteadyTime lastHeard() const { return m_lastHeard; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    wire::Task<bool> connect(std::chrono::milliseconds timeout);
    wire::Task<void> writeRequest();
    wire::Task<boost::system::error_code> readHead(SteadyTime until);
    wire::Task<boost::system::error_code> dropBody(SteadyTime until);
    void leaveUnsent(bool connected);
    void beginAnswer();
    void keepConnection();
    void expireAt(SteadyTime until);

    boost::asio::io_context &m_io;
    BackendPool &m_pool;
    const Clock &m_clock;
    std::string m_server;
    wire::Endpoint m_address;
    Request m_request;
    BackendLinkPtr m_link;
    std::optional<Parser> m_parser;
    std::string m_attemptId;
    SteadyTime m_lastHeard;
    bool m_maybeSent = false;
    bool m_refused = false;
    bool m_turnedAway = false;
    bool m_written = false;
    bool m_aborted = false;
};

} // namespace snipestall::gateway
