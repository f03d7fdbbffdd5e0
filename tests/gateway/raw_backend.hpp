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
        /// Reads the rest of the request and closes the connection.
        ReadOn,
        /// Waits for a call that moves a run away, writes what is to follow it and closes.
        AwaitMove,
    };
    struct Script
    {
        /// "@ID" stands for the id of the attempt.
        std::string bytes;
        End end = End::Close;
        std::string filler;
        /// For how long nothing is read from a new connection, as if the process were stopped.
        std::chrono::milliseconds silence { 0 };
        /// Whole answer to the first request of a connection; the bytes answer the second one.
        std::string firstAnswer {};
        /// Time between the bytes and the end.
        std::chrono::milliseconds beforeEnd { 0 };
        /// Answer to a call that moves a run away; without one, the connection is closed.
        std::string moveAnswer {};
        /// What follows such a call on the connection of the run.
        std::string afterMove {};
        /// Answer to a request that continues a run that has stopped here.
        std::string continuation {};
    };

    RawBackend(boost::asio::io_context &io, std::string id);

    /// Limits what the kernel takes in of a request that is not read. For connections that are
    /// accepted later.
    void limitReceived(int bytes);
    void play(Script script) { m_script = std::move(script); }
    [[nodiscard]] const std::string &id() const { return m_id; }
    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::string entry(int incarnation = 1,
                                    const std::string &state = R"("ready")") const;
    /// Requests that arrived.
    [[nodiscard]] int requests() const { return m_requests; }
    /// Calls that move a run away.
    [[nodiscard]] int moves() const { return m_moves; }
    /// Head of the last request that continues a run; empty if there was none.
    [[nodiscard]] const std::string &continued() const { return m_continued; }
    /// Bytes of filler that were written.
    [[nodiscard]] std::size_t filler() const { return m_filler; }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    std::string m_id;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Script m_script;
    int m_requests = 0;
    int m_moves = 0;
    std::string m_continued;
    std::size_t m_filler = 0;
};

} // namespace snipestall::gateway
