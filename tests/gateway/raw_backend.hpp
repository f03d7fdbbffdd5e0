#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <string>

namespace snipestall::gateway {

/// A backend server that writes given bytes instead of proper answers.
class RawBackend
{
public:
    enum class End {
        /// Closes the connection.
        Close,
        /// Resets the connection.
        Reset,
        /// Writes filler until the connection is closed.
        Endless,
    };
    struct Script
    {
        /// "@ID" stands for the id of the attempt.
        std::string bytes;
        End end = End::Close;
        std::string filler;
        /// For how long nothing is read from a new connection, as if the process were stopped.
        std::chrono::milliseconds silence { 0 };
    };

    RawBackend(boost::asio::io_context &io, std::string id);

    void play(Script script) { m_script = std::move(script); }
    [[nodiscard]] const std::string &id() const { return m_id; }
    [[nodiscard]] std::string entry(int incarnation = 1) const;
    /// Requests that arrived.
    [[nodiscard]] int requests() const { return m_requests; }
    /// Bytes of filler that were written.
    [[nodiscard]] std::size_t filler() const { return m_filler; }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    std::string m_id;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Script m_script;
    int m_requests = 0;
    std::size_t m_filler = 0;
};

} // namespace snipestall::gateway
