#include "test_backend.hpp"

#include "snipestall/wire/signal.hpp"

#include <chrono>
#include <utility>

namespace snipestall::gateway {

using namespace std::chrono_literals;
using wire::HttpRequest;
using wire::HttpResponse;
using wire::Task;

namespace {

/// Exceeds what a gateway holds back of an answer that is not a stream.
constexpr std::size_t LargeBytes = 700 * 1024;

int resumedAfter(const HttpRequest &request)
{
    return std::stoi(request.fields.find("Last-Event-Id").value_or("0"));
}

} // namespace

std::string TestBackend::eventText(int number) const
{
    return "id: " + std::to_string(number) + "\ndata: " + (m_version.empty() ? "x" : m_version)
        + "\n\n";
}

HttpResponse TestBackend::answerTo(const HttpRequest &request) const
{
    HttpResponse response;
    response.fields.set("X-Attempt-Id", request.fields.find("X-Attempt-Id").value_or(""));
    if (m_saysItLeaves)
        response.fields.set("Server-Leaving", "1");
    return response;
}

std::optional<std::string> TestBackend::drawRest()
{
    if (m_random.uniform() >= m_shedShare)
        return std::nullopt;
    return m_rests[m_random.below(m_rests.size())];
}

Task<void> TestBackend::serveMove(wire::HttpExchange &exchange)
{
    m_moves.push_back(exchange.request());
    m_stopped = true;
    co_await exchange.respond(
        HttpResponse::json(200, R"({"kvHandle":"h7","created":)" + std::to_string(m_events) + "}"));
}

Task<void> TestBackend::serve(wire::HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    if (request.path() == "/v1/kv-move") {
        co_await serveMove(exchange);
        co_return;
    }
    m_arrivals.push_back(std::chrono::steady_clock::now());
    const std::optional<std::string> rest = drawRest();
    m_received.push_back({ request.fields.find("X-Attempt-Id").value_or(""),
                           std::chrono::steady_clock::now(), rest });
    if (rest) {
        HttpResponse response = answerTo(request);
        response.status = 503;
        response.fields.set("X-Not-Executed", "1");
        response.fields.set("Retry-After", *rest);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (m_slots) {
        co_await serveInSlot(exchange);
        co_return;
    }
    Behaviour behaviour = m_behaviour;
    if (m_whenResumed && request.fields.find("Last-Event-Id"))
        behaviour = *m_whenResumed;
    if (behaviour == Behaviour::OtherServer)
        ++m_misdirected;
    if (behaviour == Behaviour::HoldThenSayNotRun) {
        while (m_behaviour == Behaviour::HoldThenSayNotRun)
            co_await wire::sleepFor(5ms);
        behaviour = Behaviour::SayNotRun;
    }
    if (behaviour == Behaviour::SayNotRun || behaviour == Behaviour::OtherServer) {
        HttpResponse response = answerTo(request);
        response.status = behaviour == Behaviour::SayNotRun ? 503 : 421;
        response.fields.set("X-Not-Executed", "1");
        if (m_limit)
            response.fields.set("Server-Limit", *m_limit);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    m_ran.push_back(request);
    co_await run(exchange, behaviour);
}

Task<void> TestBackend::serveInSlot(wire::HttpExchange &exchange)
{
    HttpResponse response = answerTo(exchange.request());
    response.fields.set("Server-Brittle", m_rejectionLimit);
    if (m_running >= *m_slots) {
        m_rejections.push_back(std::chrono::steady_clock::now());
        response.status = 503;
        response.fields.set("X-Not-Executed", "1");
        co_await exchange.respond(std::move(response));
        co_return;
    }
    ++m_running;
    m_ran.push_back(exchange.request());
    co_await wire::sleepFor(m_work);
    --m_running;
    response.fields.set("X-Server-Seal", "seal-" + m_id);
    co_await exchange.respond(std::move(response));
}

Task<void> TestBackend::run(wire::HttpExchange &exchange, Behaviour behaviour)
{
    const HttpRequest &request = exchange.request();
    HttpResponse response = answerTo(request);
    response.fields.set("X-Server-Seal", "seal-" + m_id);
    if (m_limit)
        response.fields.set("Server-Limit", *m_limit);
    response.body = "answer of " + m_id;
    const std::string parts = request.fields.find("X-Prompt-Prefix").value_or("");
    if (!m_endingPart.empty() && parts.find(m_endingPart + ":") != std::string::npos) {
        co_await streamUpTo(0, exchange, std::move(response));
        end(exchange);
        co_return;
    }
    switch (behaviour) {
    case Behaviour::LoseAnswer:
        exchange.abort();
        co_return;
    case Behaviour::Hang:
        while (m_behaviour == Behaviour::Hang)
            co_await wire::sleepFor(5ms);
        exchange.abort();
        co_return;
    case Behaviour::EndAfterEvents:
        co_await streamUpTo(EventsBeforeCrash, exchange, std::move(response));
        [[fallthrough]];
    case Behaviour::End:
        end(exchange);
        co_return;
    case Behaviour::Stream:
        co_await stream(exchange, std::move(response));
        co_return;
    case Behaviour::CrashAfterEvents:
        co_await streamUpTo(EventsBeforeCrash, exchange, std::move(response));
        exchange.abort();
        co_return;
    case Behaviour::OtherStatus:
        response.status = 206;
        [[fallthrough]];
    case Behaviour::StreamRest:
        co_await streamUpTo(AllEvents, exchange, std::move(response));
        co_await exchange.finish();
        co_return;
    case Behaviour::NoEvents:
        co_await streamUpTo(0, exchange, std::move(response));
        co_await exchange.finish();
        co_return;
    case Behaviour::LargeBodyThenCrash:
        co_await exchange.beginStream(std::move(response));
        co_await exchange.write(std::string(LargeBytes, 'x'));
        exchange.abort();
        co_return;
    case Behaviour::RestWithLength:
        response.fields.set("Content-Type", "text/event-stream");
        response.body.clear();
        for (int number = resumedAfter(request) + 1; number <= AllEvents; ++number)
            response.body += eventText(number);
        break;
    case Behaviour::PlainText:
        response.fields.set("Content-Type", "text/plain");
        break;
    case Behaviour::NoContent:
        response.status = 204;
        break;
    case Behaviour::NotModified:
        response.status = 304;
        break;
    case Behaviour::Fail:
        response.status = 500;
        break;
    default:
        break;
    }
    co_await exchange.respond(std::move(response));
}

void TestBackend::end(wire::HttpExchange &exchange)
{
    m_ended = true;
    m_server->stopAccepting();
    exchange.abort();
}

Task<void> TestBackend::streamUpTo(int last, wire::HttpExchange &exchange, HttpResponse response)
{
    response.fields.set("Content-Type", "text/event-stream");
    response.body.clear();
    const int after = resumedAfter(exchange.request());
    co_await exchange.beginStream(std::move(response));
    for (int number = after + 1; number <= last; ++number)
        co_await exchange.write(eventText(number));
    // Waits so that the events reach the gateway before the connection breaks.
    co_await wire::sleepFor(20ms);
}

Task<void> TestBackend::stream(wire::HttpExchange &exchange, HttpResponse response)
{
    const bool movedHere = exchange.request().fields.find("Kv-From").has_value();
    m_events = resumedAfter(exchange.request());
    const int last = movedHere ? m_events + 3 : 1000000;
    response.fields.set("Content-Type", "text/event-stream");
    response.body.clear();
    co_await exchange.beginStream(std::move(response));
    while (m_events < last && !m_stopped) {
        ++m_events;
        co_await exchange.write(eventText(m_events));
        co_await wire::sleepFor(2ms);
    }
    if (m_stopped)
        exchange.abort();
    else
        co_await exchange.finish();
}

} // namespace snipestall::gateway
