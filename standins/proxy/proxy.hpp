#pragma once

#include "common/route_table.hpp"
#include "proxy/fault_state.hpp"

#include "snipestall/base/result.hpp"
#include "snipestall/wire/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <span>
#include <vector>

namespace snipestall::standins {

class Session;

/// TCP proxy that delays, drops, freezes, refuses or cuts connections on request.
class Proxy
{
public:
    /// Opens the listener. Fails with Unavailable if that is not possible.
    static Result<std::unique_ptr<Proxy>>
    create(boost::asio::io_context &io, const wire::Endpoint &listen, const wire::Endpoint &target);

    [[nodiscard]] wire::Endpoint endpoint() const;
    wire::Task<void> acceptAll();
    /// Serves the calls of the control listener.
    wire::Task<void> serve(wire::HttpExchange &exchange);
    wire::HttpResponse changeFaults(const wire::HttpRequest &request);
    wire::HttpResponse counters(const wire::HttpRequest &request);

private:
    explicit Proxy(boost::asio::io_context &io);

    static std::span<const Route<Proxy>> routes();
    void cutAll();

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_target;
    FaultState m_faults;
    std::vector<std::weak_ptr<Session>> m_sessions;
};

} // namespace snipestall::standins
