#include "harness/port_pool.hpp"

#include "snipestall/base/random.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <filesystem>
#include <stdexcept>
#include <string>

#include <fcntl.h>
#include <sys/file.h>
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

// Tests run in parallel. Another test may check a port between this test's check and its use of the
// port; both then start a process on it and one fails. A lock on a file named after the port
// prevents this. The test holds the lock until it ends, when the system releases it.
int lockPort(std::uint16_t port)
{
    const auto directory = std::filesystem::temp_directory_path() / "snipestall-ports";
    std::filesystem::create_directories(directory);
    const std::string file = (directory / std::to_string(port)).string();
    const int descriptor = open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (descriptor >= 0 && flock(descriptor, LOCK_EX | LOCK_NB) == 0)
        return descriptor;
    if (descriptor >= 0)
        close(descriptor);
    return -1;
}

} // namespace

PortPool::~PortPool()
{
    for (const auto &[port, descriptor] : m_taken)
        close(descriptor);
}

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
        const int lock = m_taken.contains(port) ? -1 : lockPort(port);
        if (lock < 0)
            continue;
        m_taken[port] = lock;
        if (!canBind(port))
            continue;
        m_seed = random.next();
        return port;
    }
    throw std::runtime_error("no free port");
}

} // namespace snipestall::harness
