#include "queueing_engine.hpp"

#include <boost/system/system_error.hpp>

#include <algorithm>

namespace snipestall::gateway {

using namespace std::chrono_literals;
using std::chrono::steady_clock;
using wire::HttpExchange;
using wire::HttpResponse;
using wire::Task;

namespace {

constexpr double TokensPerSecond = 100000;
constexpr auto UsualEventInterval = 50ms;

HttpResponse answerTo(const wire::HttpRequest &request)
{
    HttpResponse response;
    response.fields.set("X-Attempt-Id", request.fields.find("X-Attempt-Id").value_or(""));
    return response;
}

} // namespace

QueueingEngine::QueueingEngine(boost::asio::io_context &io, std::string id, double slowness)
    : m_id(std::move(id))
    , m_slowness(slowness)
    , m_changed(io.get_executor())
{
    auto server = wire::HttpServer::create(
        io, { "127.0.0.1", 0 },
        [this](HttpExchange &exchange) -> Task<void> { co_await serve(exchange); });
    m_server = std::move(server.value());
}

std::string QueueingEngine::entry() const
{
    return R"({"service":"model","zone":"east","born":1,"state":"ready","slotCount":)"
        + std::to_string(Slots) + R"(,"address":")" + m_server->endpoint().toString() + "\"}";
}

double QueueingEngine::capacity() const
{
    const Seconds inSlot = readTime(m_meanPrompt) + Events * eventInterval();
    return m_ended ? 0 : Slots / inSlot.count();
}

void QueueingEngine::end()
{
    m_ended = true;
    m_server->stopAccepting();
    m_changed.notifyAll();
}

QueueingEngine::Seconds QueueingEngine::readTime(double tokens) const
{
    return Seconds(tokens * (MeanPromptTokens / m_meanPrompt) / TokensPerSecond * m_slowness);
}

QueueingEngine::Seconds QueueingEngine::eventInterval() const
{
    return Seconds(UsualEventInterval) * m_slowness;
}

bool QueueingEngine::mayBegin(const Turn &turn) const
{
    return m_running < Slots && *m_waiting.begin() == turn;
}

Task<void> QueueingEngine::serve(HttpExchange &exchange)
{
    const wire::HttpRequest &request = exchange.request();
    if (m_ended) {
        exchange.abort();
        co_return;
    }
    if (m_running >= Slots && m_waiting.size() >= QueueLength) {
        ++m_rejections;
        HttpResponse response = answerTo(request);
        response.status = 503;
        response.fields.set("X-Not-Executed", "1");
        co_await exchange.respond(std::move(response));
        co_return;
    }
    // The callback may still be queued when this coroutine has ended.
    const auto left = std::make_shared<bool>(false);
    exchange.onPeerClosed([this, left] {
        *left = true;
        m_changed.notifyAll();
    });
    const int priority = std::stoi(request.fields.find("X-Request-Priority").value_or("0"));
    const Turn turn(priority, ++m_arrivals);
    m_waiting.insert(turn);
    while (!m_ended && !*left && !mayBegin(turn))
        co_await m_changed.wait();
    m_waiting.erase(turn);
    if (m_ended || *left) {
        exchange.abort();
        m_changed.notifyAll();
        co_return;
    }
    ++m_running;
    m_ran.insert(request.fields.find("X-Attempt-Id").value_or(""));
    try {
        co_await run(exchange);
    } catch (const boost::system::system_error &) {
        // The gateway has closed the connection, which frees the slot.
        exchange.abort();
    }
    --m_running;
    m_changed.notifyAll();
}

Task<void> QueueingEngine::run(HttpExchange &exchange)
{
    const wire::HttpRequest &request = exchange.request();
    // The prompt's tokens come first in the field.
    const double tokens = std::stod(request.fields.find("X-Token-Count").value_or("0"));
    const auto now = steady_clock::now();
    m_readUntil = std::max(now, m_readUntil)
        + std::chrono::duration_cast<steady_clock::duration>(readTime(tokens));
    co_await wire::sleepFor(m_readUntil - now);
    HttpResponse head = answerTo(request);
    head.fields.set("Content-Type", "text/event-stream");
    head.fields.set("X-Server-Seal", "seal-" + m_id);
    if (!m_ended)
        co_await exchange.beginStream(std::move(head));
    const int after = std::stoi(request.fields.find("Last-Event-Id").value_or("0"));
    const auto interval = std::chrono::duration_cast<steady_clock::duration>(eventInterval());
    for (int number = after + 1; number <= Events && !m_ended; ++number) {
        co_await exchange.write("id: " + std::to_string(number) + "\ndata: x\n\n");
        co_await wire::sleepFor(interval);
    }
    if (m_ended)
        exchange.abort();
    else
        co_await exchange.finish();
}

} // namespace snipestall::gateway
