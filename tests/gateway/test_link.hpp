#pragma once

#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>
#include <vector>

namespace snipestall::gateway {

/// A network path to one server that can be cut, as a network partition does.
class TestLink
{
public:
    /// What happens to connections while the path is cut.
    enum class Cut {
        None,
        /// Open connections are reset, new ones refused.
        Refuse,
        /// Nothing passes: open connections hang, new ones are not accepted.
        Hang,
        /// Open connections live on, new ones are refused.
        RefuseNew,
    };

    TestLink(boost::asio::io_context &io, wire::Endpoint server);
    ~TestLink();

    [[nodiscard]] wire::Endpoint endpoint() const { return m_endpoint; }
    void cut(Cut kind);

private:
    using Socket = boost::asio::ip::tcp::socket;
    struct Connection;

    void open();
    wire::Task<void> accept();
    wire::Task<void> forward(std::shared_ptr<Connection> connection, bool toServer);

    boost::asio::io_context &m_io;
    wire::Endpoint m_server;
    wire::Endpoint m_endpoint;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    /// Fill the queue of a listener that accepts nothing, so that further connections hang.
    std::vector<Socket> m_queued;
    std::set<std::shared_ptr<Connection>> m_connections;
    Cut m_cut = Cut::None;
};

} // namespace snipestall::gateway
