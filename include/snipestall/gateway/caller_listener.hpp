#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>

namespace snipestall::gateway {

class CallerLink;
class RequestRelay;
struct GatewayState;

/// Accepts callers and serves their requests one after the other.
class CallerListener
{
public:
    static Result<std::unique_ptr<CallerListener>> create(GatewayState &state,
                                                          const wire::Endpoint &address);

    void start();
    /// Closes connections that carry no request.
    void closeIdle();
    /// Requests that still run get their last answer.
    void giveUp();
    /// Logs the requests whose answer the end of the process cuts off.
    void logUnanswered() const;
    [[nodiscard]] std::size_t connections() const { return m_links.size(); }

private:
    CallerListener(GatewayState &state, boost::asio::ip::tcp::acceptor acceptor);
    wire::Task<void> accept();
    wire::Task<void> serve(std::shared_ptr<CallerLink> link);
    wire::Task<void> serveRequests(CallerLink &link, std::shared_ptr<CallerLink> shared);

    GatewayState &m_state;
    boost::asio::ip::tcp::acceptor m_acceptor;
    /// The request that each connection carries, null between two.
    std::map<std::shared_ptr<CallerLink>, RequestRelay *> m_links;
};

} // namespace snipestall::gateway
