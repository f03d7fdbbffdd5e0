#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/result.hpp"
#include "snipestall/gateway/request_origin.hpp"
#include "snipestall/serving/traffic_limits.hpp"
#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>

#include <map>
#include <memory>

namespace snipestall::gateway {

class CallerConnection;
class RequestRelay;
enum class RequestRead;
struct BodyTerms;
struct GatewayState;

/// Accepts connections of callers, or of other instances, and serves the requests of each
/// connection one after the other.
class CallerListener
{
public:
    static Result<std::unique_ptr<CallerListener>>
    create(GatewayState &state, const wire::Endpoint &address, RequestOrigin origin);

    void start();
    /// Closes connections that carry no request, except those that were accepted a short time ago
    /// and have not carried one yet.
    void closeIdle();
    /// Closes the listening socket. Connections that the kernel has established are accepted first.
    void stopAccepting();
    /// Stops reading requests that have arrived in part. Their callers are told that they have not
    /// run.
    void stopReading();
    /// Counts the times for which the running requests have run as measured.
    void recordRunning() const;
    /// Cancels the running requests. Each caller gets the answer that can be given at that moment.
    void cancelRequests();
    /// Logs the requests that get no complete answer because the process ends.
    void logUnanswered() const;
    [[nodiscard]] std::size_t connections() const { return m_connections.size(); }

private:
    CallerListener(GatewayState &state, boost::asio::ip::tcp::acceptor acceptor,
                   RequestOrigin origin);
    [[nodiscard]] serving::TrafficLimits limits() const;
    /// Connections that callers and other instances may have open together.
    [[nodiscard]] std::size_t connectionLimit() const;
    wire::Task<void> accept();
    void take(boost::asio::ip::tcp::socket socket);
    wire::Task<void> serve(std::shared_ptr<CallerConnection> connection);
    wire::Task<void> serveRequests(CallerConnection &connection,
                                   std::shared_ptr<CallerConnection> shared);
    [[nodiscard]] BodyTerms checkHead(const boost::beast::http::request_header<> &head) const;
    /// Answers a request that could not be read. Returns whether the caller could be reached.
    wire::Task<bool> refuse(CallerConnection &connection, RequestRead read);

    GatewayState &m_state;
    boost::asio::ip::tcp::acceptor m_acceptor;
    RequestOrigin m_origin;
    struct Served
    {
        /// The request that the connection carries; null between two requests.
        RequestRelay *relay = nullptr;
        SteadyTime acceptedAt;
        bool hasCarriedRequest = false;
    };
    std::map<std::shared_ptr<CallerConnection>, Served> m_connections;
    bool m_stopped = false;
};

} // namespace snipestall::gateway
