#include "common/json_fields.hpp"
#include "common/program.hpp"
#include "engine/engine.hpp"

#include "snipestall/wire/signal.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace snipestall::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using wire::HttpExchange;
using wire::HttpRequest;
using wire::HttpResponse;
using wire::Task;

namespace {

HttpResponse jsonResponse(const json::object &object)
{
    return HttpResponse::json(200, json::serialize(object));
}

json::array toJson(const std::vector<std::string> &texts)
{
    json::array array;
    for (const auto &text : texts)
        array.emplace_back(text);
    return array;
}

json::object toJson(const CacheEvent &event)
{
    json::object object;
    object["prefix"] = std::to_string(event.prefix);
    object["present"] = event.present;
    return object;
}

std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

void EngineFaults::change(const json::object &body)
{
    failFast = flagField(body, "fail_fast", failFast);
    ignoreCancel = flagField(body, "ignore_cancel", ignoreCancel);
    strangerAnswers = integerField(body, "stranger_answers", strangerAnswers);
    cutAnswers = integerField(body, "cut_answers", cutAnswers);
    cutAfterTokens = integerField(body, "cut_after_tokens", cutAfterTokens);
    crashMarker = textField(body, "crash_marker", crashMarker);
}

HttpResponse Engine::cancel(const HttpRequest &request)
{
    const auto body = parseObject(request.body);
    const AttemptPtr attempt = m_log.find(textField(body, "attempt"));
    if (attempt != nullptr && !m_faults.ignoreCancel)
        close(attempt, AttemptState::Cancelled);
    return noContent();
}

Task<void> Engine::exportKv(HttpExchange &exchange)
{
    const auto body = parseObject(exchange.request().body);
    const AttemptPtr attempt = m_log.find(textField(body, "attempt"));
    if (attempt == nullptr) {
        HttpResponse unknown = errorResponse(404, "no such attempt");
        co_await exchange.respond(std::move(unknown));
        co_return;
    }
    co_await wire::sleepFor(m_options.exportTime);
    const std::int64_t tokens = attempt->promptTokens + attempt->from + attempt->produced;
    json::object answer;
    answer["kv"] = m_kv.put(m_kvAddress, { attempt->promptHash, tokens });
    HttpResponse response = jsonResponse(answer);
    co_await exchange.respond(std::move(response));
}

Task<void> Engine::serveKv(HttpExchange &exchange)
{
    const auto kv = m_kv.find(std::string(exchange.request().path()));
    HttpResponse response = errorResponse(404, "no such KV export");
    if (kv) {
        json::object answer;
        answer["prompt_hash"] = kv->promptHash;
        answer["tokens"] = kv->tokens;
        response = jsonResponse(answer);
    }
    co_await exchange.respond(std::move(response));
}

HttpResponse Engine::load(const HttpRequest &)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    const LoadReport &report = m_loadHistory.at(now - m_options.reportLag);
    json::object answer;
    answer["name"] = m_options.name;
    answer["incarnation"] = m_options.incarnation;
    answer["service"] = m_options.service;
    answer["models"] = toJson(report.models);
    answer["slots"] = m_options.slots;
    answer["running"] = report.running;
    answer["queued"] = report.queued;
    answer["leaving"] = report.leaving;
    if (report.leaving) {
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(m_noticeEndsAt - now);
        answer["notice_ms"] = std::max<std::int64_t>(left.count(), 0);
    }
    answer["age_ms"] = m_options.reportLag.count();
    return jsonResponse(answer);
}

void Engine::recordLoad()
{
    LoadReport report { m_models, m_batch.running(), m_batch.queued(), m_noticedAt.has_value() };
    m_loadHistory.set(std::chrono::steady_clock::now(), std::move(report));
}

HttpResponse Engine::cacheEvents(const HttpRequest &request)
{
    const std::uint64_t after = parseNumber(request.query("after"));
    const auto events = m_cache.eventsAfter(std::chrono::steady_clock::now(), after);
    json::array array;
    for (const auto &event : events)
        array.push_back(toJson(event));
    json::object answer;
    answer["next"] = events.empty() ? after : events.back().number;
    answer["events"] = std::move(array);
    return jsonResponse(answer);
}

HttpResponse Engine::acceptOrder(const HttpRequest &request)
{
    Order order = OrderLog::parse(parseObject(request.body));
    if (!m_orders.add(order))
        return errorResponse(409, "outdated fencing token; a newer one has been seen");
    if (order.kind == "load")
        asio::co_spawn(m_io, loadModel(std::move(order.model)), asio::detached);
    else if (order.kind == "unload")
        std::erase(m_models, order.model);
    recordLoad();
    return HttpResponse::json(200, "{}");
}

Task<void> Engine::loadModel(std::string model)
{
    if (m_platform) {
        HttpRequest request { "GET", "/weights/" + model, {}, {} };
        const auto weights = co_await m_client.fetch(*m_platform, std::move(request));
        if (!weights || weights->status != 200)
            co_return;
    }
    if (std::find(m_models.begin(), m_models.end(), model) == m_models.end())
        m_models.push_back(std::move(model));
    recordLoad();
}

HttpResponse Engine::listOrders(const HttpRequest &)
{
    return jsonResponse(m_orders.toJson());
}

HttpResponse Engine::control(const HttpRequest &request)
{
    const auto body = parseObject(request.body);
    m_faults.change(body);
    m_options.reportLag = millisecondsField(body, "report_lag_ms", m_options.reportLag);
    m_options.exportTime = millisecondsField(body, "export_ms", m_options.exportTime);
    if (body.contains("slow_factor"))
        m_batch.setSlowFactor(realField(body, "slow_factor", 1));
    if (body.contains("stalled"))
        m_batch.setStalled(flagField(body, "stalled"));
    return noContent();
}

HttpResponse Engine::reclaim(const HttpRequest &request)
{
    const auto body = parseObject(request.body);
    const auto notice = millisecondsField(body, "notice_ms", std::chrono::milliseconds(0));
    const SteadyTime now = std::chrono::steady_clock::now();
    if (m_noticedAt)
        return noContent();
    m_noticedAt = now;
    m_noticeEndsAt = now + notice;
    recordLoad();
    asio::co_spawn(m_io, leaveAfter(notice), asio::detached);
    return noContent();
}

Task<void> Engine::leaveAfter(std::chrono::milliseconds notice)
{
    co_await wire::sleepFor(notice);
    m_reclaimed = true;
    const std::vector<AttemptPtr> attempts = m_log.all();
    for (const auto &attempt : attempts)
        close(attempt, AttemptState::Cut);
    if (m_onReclaimed)
        m_onReclaimed();
}

HttpResponse Engine::attempts(const HttpRequest &)
{
    json::object answer;
    answer["attempts"] = m_log.toJson();
    return jsonResponse(answer);
}

} // namespace snipestall::standins
