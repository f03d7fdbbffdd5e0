#include "proxy/session.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace snipestall::standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using wire::Task;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ReadBytes = 16 * 1024;
/// Reading pauses while a flow buffers more than this, so that back-pressure reaches the sender.
constexpr std::size_t MaxWaitingBytes = 1024 * 1024;

} // namespace

Session::Flow::Flow(Direction flowDirection, tcp::socket &source, tcp::socket &destination)
    : direction(flowDirection)
    , from(source)
    , to(destination)
    , changed(source.get_executor(), SteadyTime::max())
{ }

Session::Session(FaultState &faults, tcp::socket client)
    : m_faults(faults)
    , m_client(std::move(client))
    , m_target(m_client.get_executor())
    , m_toTarget(Direction::ToTarget, m_client, m_target)
    , m_toClient(Direction::ToClient, m_target, m_client)
{ }

Task<void> Session::run(tcp::endpoint target)
{
    const auto self = shared_from_this();
    co_await m_faults.waitWhileFrozen();
    if (m_closed)
        co_return;
    auto [ec] = co_await m_target.async_connect(target, UseTuple);
    if (ec) {
        close();
        co_return;
    }
    boost::system::error_code ignored;
    m_client.set_option(tcp::no_delay(true), ignored);
    m_target.set_option(tcp::no_delay(true), ignored);
    spawn(m_toTarget);
    spawn(m_toClient);
}

void Session::spawn(Flow &flow)
{
    asio::co_spawn(m_client.get_executor(), readAll(flow), asio::detached);
    asio::co_spawn(m_client.get_executor(), writeAll(flow), asio::detached);
}

void Session::close()
{
    m_closed = true;
    boost::system::error_code ignored;
    m_client.close(ignored);
    m_target.close(ignored);
    m_toTarget.changed.cancel();
    m_toClient.changed.cancel();
}

void Session::push(Flow &flow, Chunk chunk)
{
    chunk.due = std::chrono::steady_clock::now() + m_faults.delay();
    flow.waitingBytes += chunk.bytes.size();
    flow.chunks.push_back(std::move(chunk));
    flow.changed.cancel();
}

Task<void> Session::waitForChange(Flow &flow)
{
    co_await flow.changed.async_wait(UseTuple);
}

Task<void> Session::readAll(Flow &flow)
{
    const auto self = shared_from_this();
    std::array<char, ReadBytes> buffer {};
    while (!m_closed) {
        while (flow.waitingBytes > MaxWaitingBytes && !m_closed)
            co_await waitForChange(flow);
        auto [ec, bytes] = co_await flow.from.async_read_some(asio::buffer(buffer), UseTuple);
        Chunk chunk;
        chunk.bytes.assign(buffer.data(), bytes);
        if (ec)
            chunk.kind = ec == asio::error::eof ? ChunkKind::End : ChunkKind::Reset;
        push(flow, std::move(chunk));
        if (ec)
            co_return;
    }
}

Task<void> Session::writeAll(Flow &flow)
{
    const auto self = shared_from_this();
    bool more = true;
    while (more && !m_closed)
        more = co_await writeNext(flow);
    ++m_endedFlows;
    if (m_endedFlows == 2)
        close();
}

Task<bool> Session::writeNext(Flow &flow)
{
    while (flow.chunks.empty() && !m_closed)
        co_await waitForChange(flow);
    if (m_closed)
        co_return false;
    Chunk chunk = std::move(flow.chunks.front());
    flow.chunks.pop_front();
    asio::steady_timer due(m_client.get_executor(), chunk.due);
    co_await due.async_wait(UseTuple);
    co_await m_faults.waitWhileFrozen();
    if (m_closed)
        co_return false;
    flow.waitingBytes -= chunk.bytes.size();
    flow.changed.cancel();
    const bool more = co_await deliver(flow, std::move(chunk));
    co_return more;
}

// A direction that drops bytes also drops the end of its flow, as a network partition would, so
// that the receiver still considers the connection open.
Task<bool> Session::deliver(Flow &flow, Chunk chunk)
{
    if (m_faults.drops(flow.direction)) {
        m_faults.countDropped(flow.direction, chunk.bytes.size());
        co_return chunk.kind == ChunkKind::Bytes;
    }
    if (chunk.kind == ChunkKind::Reset) {
        close();
        co_return false;
    }
    if (chunk.kind == ChunkKind::End) {
        boost::system::error_code ignored;
        flow.to.shutdown(tcp::socket::shutdown_send, ignored);
        co_return false;
    }
    const std::size_t allowed = m_faults.allowedBytes(flow.direction, chunk.bytes.size());
    auto [ec, written] =
        co_await asio::async_write(flow.to, asio::buffer(chunk.bytes.data(), allowed), UseTuple);
    const bool cut = m_faults.countPassed(flow.direction, written);
    if (ec || cut) {
        close();
        co_return false;
    }
    co_return true;
}

} // namespace snipestall::standins
