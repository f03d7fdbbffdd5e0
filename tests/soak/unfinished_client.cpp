#include "soak/unfinished_client.hpp"

#include "soak/deployment.hpp"

#include "snipestall/wire/signal.hpp"

#include <chrono>
#include <sstream>
#include <utility>

namespace snipestall::soak {

using wire::Task;

namespace {

constexpr std::uint64_t LongestPauseMs = 60;
constexpr std::size_t LargestBody = 2000000;
constexpr std::size_t SmallestBody = 1000;
constexpr int TinyChunks = 20000;

std::string chunkOf(std::size_t size)
{
    std::ostringstream text;
    text << std::hex << size << "\r\n" << std::string(size, 'a') << "\r\n";
    return text.str();
}

} // namespace

UnfinishedClient::UnfinishedClient(boost::asio::io_context &io, const Deployment &deployment,
                                   std::size_t number, std::uint64_t seed)
    : m_io(io)
    , m_deployment(deployment)
    , m_random(seed)
    , m_name("u" + std::to_string(number))
    , m_gateway(number)
{ }

std::string UnfinishedClient::drawRequest()
{
    Attempt attempt;
    attempt.id = m_name;
    attempt.method = "POST";
    attempt.target = "/safe/plain/x";
    const std::string head = headOf(attempt);
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::size_t size = SmallestBody + m_random.below(LargestBody - SmallestBody);
    std::string tiny;
    switch (m_random.below(4)) {
    case 0:
        return head + "X-Filler: " + std::string(SmallestBody, 'a');
    case 1:
        return head + chunked + chunkOf(size);
    case 2:
        for (int i = 0; i < TinyChunks; ++i)
            tiny += chunkOf(1);
        return head + chunked + tiny;
    default:
        return head + "Content-Length: " + std::to_string(size) + "\r\n\r\n"
            + std::string(size - 1, 'a');
    }
}

Task<void> UnfinishedClient::send(std::string request)
{
    RawConnection connection(m_io);
    const wire::Endpoint gateway =
        m_deployment.callerEndpoint(m_gateway++ % m_deployment.gateways());
    Attempt unused;
    if (co_await connection.open(gateway) && co_await connection.write(std::move(request)))
        co_await connection.read(unused);
}

Task<void> UnfinishedClient::run()
{
    while (!m_stopped) {
        if (m_deployment.hasEndlessMessages()) {
            std::string request = drawRequest();
            co_await send(std::move(request));
        }
        const auto pause = static_cast<std::int64_t>(1 + m_random.below(LongestPauseMs));
        co_await wire::sleepFor(std::chrono::milliseconds(pause));
    }
}

} // namespace snipestall::soak
