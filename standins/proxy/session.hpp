#pragma once

#include "proxy/fault_state.hpp"

#include "snipestall/base/clock.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <string>

namespace snipestall::standins {

/// One proxied connection. Each of its two byte flows has one coroutine that reads and one that
/// writes after the delay, so that a delay does not lower the throughput.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(FaultState &faults, boost::asio::ip::tcp::socket client);

    /// Connects to the target and starts both flows.
    wire::Task<void> run(boost::asio::ip::tcp::endpoint target);
    void close();

private:
    enum class ChunkKind {
        Bytes,
        /// The sender closed its side of the connection.
        End,
        /// Reading failed, for example because the connection was reset.
        Reset,
    };

    struct Chunk
    {
        ChunkKind kind = ChunkKind::Bytes;
        std::string bytes;
        SteadyTime due {};
    };

    struct Flow
    {
        Flow(Direction flowDirection, boost::asio::ip::tcp::socket &source,
             boost::asio::ip::tcp::socket &destination);

        Direction direction;
        boost::asio::ip::tcp::socket &from;
        boost::asio::ip::tcp::socket &to;
        std::deque<Chunk> chunks;
        std::size_t waitingBytes = 0;
        boost::asio::steady_timer changed;
    };

    void spawn(Flow &flow);
    wire::Task<void> readAll(Flow &flow);
    wire::Task<void> writeAll(Flow &flow);
    /// Returns false once the flow has ended.
    wire::Task<bool> writeNext(Flow &flow);
    wire::Task<bool> deliver(Flow &flow, Chunk chunk);
    void push(Flow &flow, Chunk chunk);
    static wire::Task<void> waitForChange(Flow &flow);

    FaultState &m_faults;
    boost::asio::ip::tcp::socket m_client;
    boost::asio::ip::tcp::socket m_target;
    Flow m_toTarget;
    Flow m_toClient;
    int m_endedFlows = 0;
    bool m_closed = false;
};

} // namespace snipestall::standins
