#include "soak/ahead_client.hpp"

#include "soak/deployment.hpp"

#include "snipestall/base/rendezvous.hpp"
#include "snipestall/wire/signal.hpp"

#include <chrono>

namespace snipestall::soak {

using namespace std::chrono_literals;
using wire::Task;

namespace {

constexpr std::uint64_t LargestBatch = 8;
constexpr std::uint64_t LongestPauseMs = 30;
/// After a connection that could not be opened.
constexpr auto ReopenPause = 50ms;

} // namespace

AheadClient::AheadClient(boost::asio::io_context &io, const Deployment &deployment,
                         std::size_t number, std::uint64_t seed)
    : m_io(io)
    , m_deployment(deployment)
    , m_random(seed)
    , m_name("a" + std::to_string(number))
    , m_gateway(number)
{ }

Task<bool> AheadClient::sendBatch(RawConnection &connection)
{
    const std::size_t first = m_attempts.size();
    const std::size_t count = 2 + m_random.below(LargestBatch - 1);
    std::string bytes;
    for (std::size_t i = 0; i < count; ++i) {
        Attempt attempt;
        attempt.id = m_name + "-" + std::to_string(m_attempts.size());
        attempt.kind = RequestKind::Idempotent;
        attempt.method = "GET";
        attempt.target = "/safe/plain/x";
        attempt.bodyHash = stableHash("");
        attempt.gateway = m_gateway % m_deployment.gateways();
        attempt.ahead = true;
        bytes += headOf(attempt) + "\r\n";
        m_attempts.push_back(attempt);
    }
    const bool written = co_await connection.write(bytes);
    const Moment sent = std::chrono::steady_clock::now();
    bool open = written;
    for (std::size_t i = first; i < m_attempts.size(); ++i) {
        Attempt attempt = m_attempts[i];
        attempt.sent = sent;
        attempt.ended = std::chrono::steady_clock::now();
        attempt.unsent = !written;
        open = open && co_await connection.read(attempt);
        m_attempts[i] = attempt;
    }
    co_return open;
}

Task<void> AheadClient::run()
{
    while (!m_stopped) {
        RawConnection connection(m_io);
        const wire::Endpoint gateway =
            m_deployment.callerEndpoint(m_gateway % m_deployment.gateways());
        bool open = co_await connection.open(gateway);
        if (!open)
            co_await wire::sleepFor(ReopenPause);
        while (open && !m_stopped) {
            open = co_await sendBatch(connection);
            const auto pause = static_cast<std::int64_t>(1 + m_random.below(LongestPauseMs));
            co_await wire::sleepFor(std::chrono::milliseconds(pause));
        }
        ++m_gateway;
    }
}

} // namespace snipestall::soak
