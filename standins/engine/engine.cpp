#include "engine/engine.hpp"

#include "common/json_fields.hpp"
#include "common/token_text.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

namespace snipestall::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using wire::HttpExchange;
using wire::HttpRequest;
using wire::HttpResponse;
using wire::Task;

namespace {

constexpr int CrashStatus = 70;
constexpr std::int64_t DefaultMaxTokens = 16;

struct TokenEvent
{
    std::string attempt;
    std::uint32_t promptHash = 0;
    std::int64_t offset = 0;
};

std::string formatEvent(const TokenEvent &event)
{
    json::object data;
    data["attempt"] = event.attempt;
    data["offset"] = event.offset;
    data["text"] = tokenText(event.promptHash, event.offset);
    return "id: " + std::to_string(event.offset) + "\ndata: " + json::serialize(data) + "\n\n";
}

PrefixCache::Options cacheOptions(const EngineOptions &options)
{
    return { options.cacheBlocks, options.cacheEventLag, options.cacheEventGap, options.seed };
}

} // namespace

Engine::Engine(asio::io_context &io, EngineOptions options, std::optional<wire::Endpoint> platform)
    : m_io(io)
    , m_options(std::move(options))
    , m_platform(std::move(platform))
    , m_client(io)
    , m_cache(cacheOptions(m_options))
    , m_batch(io, m_options, m_cache)
    , m_log(m_options.attemptsFile)
    , m_orders(m_options.checksFencing)
    , m_models(m_options.models)
    , m_loadHistory({ m_options.models, 0, 0, false })
{
    m_batch.onToken([this](const Attempt &attempt) { crashIfMarked(attempt); });
    m_batch.onChange([this] { recordLoad(); });
}

std::span<const Route<Engine>> Engine::routes()
{
    static constexpr std::array<Route<Engine>, 10> All { {
        { "POST", "/v1/completions", nullptr, &Engine::complete },
        { "POST", "/v1/cancel", &Engine::cancel },
        { "POST", "/kv/export", nullptr, &Engine::exportKv },
        { "GET", "/load", &Engine::load },
        { "GET", "/cache-events", &Engine::cacheEvents },
        { "POST", "/orders", &Engine::acceptOrder },
        { "GET", "/orders", &Engine::listOrders },
        { "POST", "/control", &Engine::control },
        { "POST", "/control/reclaim", &Engine::reclaim },
        { "GET", "/control/attempts", &Engine::attempts },
    } };
    return All;
}

Task<void> Engine::run()
{
    return m_batch.run();
}

Task<void> Engine::serve(HttpExchange &exchange)
{
    // A keep-alive connection may still deliver a request after the engine was reclaimed.
    if (m_reclaimed) {
        exchange.abort();
        co_return;
    }
    co_await serveRoute(*this, routes(), exchange);
}

AttemptPtr Engine::parseAttempt(const HttpRequest &request)
{
    const auto body = parseObject(request.body);
    auto attempt = std::make_shared<Attempt>(m_io);
    attempt->request = textField(body, "request");
    attempt->id = textField(body, "attempt");
    attempt->model = textField(body, "model");
    attempt->prompt = textField(body, "prompt");
    attempt->promptHash = promptHash(attempt->prompt);
    attempt->promptTokens = promptTokens(attempt->prompt);
    attempt->maxTokens = integerField(body, "max_tokens", DefaultMaxTokens);
    attempt->from = integerField(body, "resume_from");
    attempt->priority = integerField(body, "priority");
    attempt->kvHandle = textField(body, "kv");
    attempt->arrived = std::chrono::system_clock::now();
    if (m_noticedAt) {
        attempt->afterNotice = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - *m_noticedAt);
    }
    return attempt;
}

std::optional<HttpResponse> Engine::refusal(const Attempt &attempt) const
{
    if (m_faults.failFast)
        return errorResponse(500, "refused because fail_fast is set");
    if (std::find(m_models.begin(), m_models.end(), attempt.model) == m_models.end())
        return errorResponse(404, "the model is not loaded");
    if (m_batch.hasRoom())
        return std::nullopt;
    HttpResponse full = errorResponse(503, "slots and queue are full; not run");
    full.fields.set("Retry-After", "1");
    return full;
}

Task<void> Engine::complete(HttpExchange &exchange)
{
    const AttemptPtr attempt = parseAttempt(exchange.request());
    m_log.recordArrival(attempt);
    auto refused = refusal(*attempt);
    if (refused) {
        close(attempt, AttemptState::Refused);
        refused->fields.set("Snipestall-Attempt", attempt->id);
        co_await exchange.respond(std::move(*refused));
        co_return;
    }
    exchange.onPeerClosed([this, attempt] { close(attempt, AttemptState::Cut); });
    bool disconnected = false;
    try {
        co_await stream(exchange, attempt);
    } catch (const boost::system::system_error &) {
        disconnected = true;
    }
    if (disconnected)
        close(attempt, AttemptState::Cut);
}

Task<void> Engine::stream(HttpExchange &exchange, AttemptPtr attempt)
{
    HttpResponse head;
    head.fields.set("Content-Type", "text/event-stream");
    const bool stranger = m_faults.strangerAnswers > 0;
    head.fields.set("Snipestall-Attempt", stranger ? "stranger" : attempt->id);
    co_await exchange.beginStream(std::move(head));
    if (!attempt->kvHandle.empty())
        co_await importKv(attempt);
    if (attempt->ended == AttemptState::Running && attempt->tokensToProduce() > 0)
        m_batch.add(attempt);
    co_await writeTokens(exchange, attempt);
    if (attempt->ended == AttemptState::Cut) {
        exchange.abort();
        co_return;
    }
    close(attempt, AttemptState::Completed);
    co_await writeEnd(exchange, attempt);
}

Task<void> Engine::writeTokens(HttpExchange &exchange, AttemptPtr attempt)
{
    TokenEvent event { attempt->id, attempt->promptHash, attempt->from };
    if (m_faults.strangerAnswers > 0) {
        --m_faults.strangerAnswers;
        event.attempt = "stranger";
        event.promptHash = ~event.promptHash;
    }
    std::int64_t cutAt = attempt->maxTokens;
    if (m_faults.cutAnswers > 0) {
        --m_faults.cutAnswers;
        cutAt = attempt->from + m_faults.cutAfterTokens;
    }
    while (attempt->ended == AttemptState::Running && event.offset < attempt->maxTokens) {
        if (event.offset >= cutAt) {
            close(attempt, AttemptState::Cut);
            co_return;
        }
        const std::int64_t available = attempt->from + attempt->produced;
        if (event.offset == available) {
            co_await attempt->wake.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        std::string text = formatEvent(event);
        ++event.offset;
        co_await exchange.write(std::move(text));
    }
}

Task<void> Engine::writeEnd(HttpExchange &exchange, AttemptPtr attempt)
{
    json::object data;
    data["attempt"] = attempt->id;
    data["end"] = true;
    data["tokens"] = attempt->produced;
    data["cached"] = attempt->cachedTokens;
    data["prefilled"] = attempt->prefilledTokens;
    data["recomputed"] = attempt->from > 0 ? attempt->prefilledTokens : 0;
    if (attempt->ended == AttemptState::Cancelled)
        data["cancelled"] = true;
    std::string text = "data: " + json::serialize(data) + "\n\n";
    co_await exchange.write(std::move(text));
    co_await exchange.finish();
}

void Engine::close(const AttemptPtr &attempt, AttemptState outcome)
{
    if (attempt->ended != AttemptState::Running)
        return;
    attempt->end(outcome);
    m_batch.remove(attempt);
    m_log.recordEnd(*attempt);
}

void Engine::crashIfMarked(const Attempt &attempt) const
{
    if (attempt.prompt.find(m_faults.crashMarker) == std::string::npos)
        return;
    std::cerr << "crash marker in attempt " << attempt.id << '\n';
    std::_Exit(CrashStatus);
}

// A handle that can no longer be fetched is not an error, because the engine prefills the missing
// tokens.
Task<void> Engine::importKv(AttemptPtr attempt)
{
    const std::size_t slash = attempt->kvHandle.find('/');
    const auto exporter = wire::Endpoint::parse(attempt->kvHandle.substr(0, slash));
    if (slash == std::string::npos || !exporter)
        co_return;
    HttpRequest request { "GET", attempt->kvHandle.substr(slash), {}, {} };
    const auto answer = co_await m_client.fetch(*exporter, std::move(request));
    if (!answer || answer->status != 200)
        co_return;
    const auto kv = parseObject(answer->body);
    if (integerField(kv, "prompt_hash") != attempt->promptHash)
        co_return;
    asio::steady_timer transfer(m_io, m_options.importTime);
    co_await transfer.async_wait(asio::as_tuple(asio::use_awaitable));
    const std::int64_t needed = attempt->promptTokens + attempt->from;
    attempt->kvTokens = std::min(integerField(kv, "tokens"), needed);
}

} // namespace snipestall::standins
