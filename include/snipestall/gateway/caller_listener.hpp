#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/gateway/request_origin.hpp"
#include "snipestall/serving/traffic_limits.hpp"
#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>

namespace snipestall::gateway {

class CallerConnection;
class RequestRelay;
struct GatewayState;

/// Accepts connections of callers, or of other instances, and serves the requests of each
/// connection one after the other.
class CallerListener
{
public:
    static Result<std::unique_ptr<CallerListener>>
    create(GatewayState &state, const wire::Endpoint &address, RequestOrigin origin);

    void start();
    /// Closes connections that carry no request.
    void closeIdle();
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
    wire::Task<void> accept();
    wire::Task<void> serve(std::shared_ptr<CallerConnection> connection);
    wire::Task<void> serveRequests(CallerConnection &connection,
                                   std::shared_ptr<CallerConnection> shared);

    GatewayState &m_state;
    boost::asio::ip::tcp::acceptor m_acceptor;
    RequestOrigin m_origin;
    /// The request that each connection carries; null between two requests.
    std::map<std::shared_ptr<CallerConnection>, RequestRelay *> m_connections;
};

} // namespace snipestall::gateway
