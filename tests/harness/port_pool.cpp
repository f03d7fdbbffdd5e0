#include "harness/port_pool.hpp"

#include "snipestall/base/random.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <stdexcept>

#include <unistd.h>

namespace snipestall::harness {

namespace {

constexpr std::uint16_t FirstPort = 12000;
constexpr std::uint16_t PortCount = 20000;
constexpr int MaxTries = 1000;

bool canBind(std::uint16_t port)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(io);
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address("127.0.0.1");
    acceptor.open(boost::asio::ip::tcp::v4(), ec);
    acceptor.bind({ address, port }, ec);
    return !ec;
}

} // namespace

PortPool::PortPool()
    : m_seed(
        static_cast<std::uint64_t>(getpid())
        ^ static_cast<std::uint64_t>(std::chrono::steady_clock::now().time_since_epoch().count()))
{ }

std::uint16_t PortPool::take()
{
    Random random(m_seed);
    for (int i = 0; i < MaxTries; ++i) {
        const auto port = static_cast<std::uint16_t>(FirstPort + random.below(PortCount));
        if (m_taken.contains(port) || !canBind(port))
            continue;
        m_seed = random.next();
        m_taken.insert(port);
        return port;
    }
    throw std::runtime_error("no free port");
}

} // namespace snipestall::harness
