#include "soak/endless_client.hpp"

#include "soak/deployment.hpp"

#include "snipestall/base/rendezvous.hpp"
#include "snipestall/wire/signal.hpp"

#include <array>
#include <chrono>
#include <utility>

namespace snipestall::soak {

using namespace std::chrono_literals;
using wire::Task;

namespace {

constexpr std::uint64_t LongestPauseMs = 150;
/// More than a gateway may grow by, and little enough for the machine if a gateway keeps them all.
constexpr std::size_t EndlessBytes = std::size_t(96) << 20U;
constexpr std::size_t PieceBytes = std::size_t(64) << 10U;
constexpr std::size_t LongTrailerBytes = 70 * 1024;
constexpr auto Body = "hello";

} // namespace

EndlessClient::EndlessClient(boost::asio::io_context &io, const Deployment &deployment,
                             std::size_t number, std::uint64_t seed)
    : m_io(io)
    , m_deployment(deployment)
    , m_random(seed)
    , m_name("e" + std::to_string(number))
    , m_gateway(number)
{ }

EndlessClient::Form EndlessClient::drawForm()
{
    const std::string filler(PieceBytes, 'a');
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string whole = chunked + "5\r\n" + Body + "\r\n0\r\n";
    std::string trailers;
    while (trailers.size() < PieceBytes)
        trailers += "X-Note: short\r\n";
    const std::array<Form, 8> forms { {
        { whole + "X-Note: short\r\n\r\n", {}, 0, true },
        { chunked + "5;name=value\r\n" + Body + "\r\n0\r\n\r\n", {}, 0, true },
        { whole + "X-Note: " + std::string(LongTrailerBytes, 'a') + "\r\n\r\n", {}, 0, false },
        { whole + "X-Note: ", filler, EndlessBytes, false },
        { whole, trailers, EndlessBytes, false },
        { chunked + "5;name=", filler, EndlessBytes, false },
        { "X-Note: ", filler, EndlessBytes, false },
        { chunked, "10000\r\n" + filler + "\r\n", EndlessBytes, false },
    } };
    return forms.at(m_random.below(forms.size()));
}

Task<void> EndlessClient::send(Form form)
{
    Attempt attempt;
    attempt.id = m_name + "-" + std::to_string(m_attempts.size());
    attempt.kind = RequestKind::Idempotent;
    attempt.method = "POST";
    attempt.target = "/safe/plain/x";
    attempt.bodyHash = stableHash(Body);
    attempt.gateway = m_gateway % m_deployment.gateways();
    attempt.malformed = !form.proper;
    attempt.sent = std::chrono::steady_clock::now();
    RawConnection connection(m_io);
    const wire::Endpoint gateway = m_deployment.callerEndpoint(attempt.gateway);
    attempt.unsent = !co_await connection.open(gateway);
    if (!attempt.unsent) {
        const std::string start = headOf(attempt) + form.rest;
        bool written = co_await connection.write(start);
        if (written && form.size > 0)
            written = co_await connection.writeUpTo(form.size, form.endless);
        // A gateway that has taken all of it and waits for the rest is not waited for.
        if (form.size == 0 || !written)
            co_await connection.read(attempt);
    }
    attempt.ended = std::chrono::steady_clock::now();
    m_attempts.push_back(attempt);
}

Task<void> EndlessClient::callEndlessServer()
{
    Attempt call;
    call.id = m_name + "-raw-" + std::to_string(m_calls++);
    call.method = "GET";
    call.target = m_random.below(2) == 0 ? "/raw/x" : "/raw-events/x";
    call.gateway = m_gateway % m_deployment.gateways();
    RawConnection connection(m_io);
    const wire::Endpoint gateway = m_deployment.callerEndpoint(call.gateway);
    if (!co_await connection.open(gateway))
        co_return;
    const std::string bytes = headOf(call) + "\r\n";
    if (co_await connection.write(bytes))
        co_await connection.read(call);
}

Task<void> EndlessClient::run()
{
    while (!m_stopped) {
        if (m_deployment.hasEndlessMessages()) {
            ++m_gateway;
            if (m_random.below(2) == 0) {
                co_await callEndlessServer();
            } else {
                Form form = drawForm();
                co_await send(std::move(form));
            }
        }
        const auto pause = static_cast<std::int64_t>(1 + m_random.below(LongestPauseMs));
        co_await wire::sleepFor(std::chrono::milliseconds(pause));
    }
}

} // namespace snipestall::soak
