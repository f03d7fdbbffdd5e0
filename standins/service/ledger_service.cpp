#include "service/ledger_service.hpp"

#include "common/json_fields.hpp"
#include "common/program.hpp"

#include "snipestall/wire/signal.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>

namespace snipestall::standins {

namespace json = boost::json;
using wire::HttpExchange;
using wire::HttpRequest;
using wire::HttpResponse;
using wire::Task;

LedgerService::LedgerService(boost::asio::io_context &io, ServiceOptions options)
    : m_io(io)
    , m_options(std::move(options))
    , m_runs(m_options.runsFile)
{ }

std::span<const Route<LedgerService>> LedgerService::routes()
{
    static constexpr std::array<Route<LedgerService>, 5> All { {
        { "GET", "/load", &LedgerService::load },
        { "GET", "/control/runs", &LedgerService::runs },
        { "POST", "/control", &LedgerService::control },
        { "POST", "/control/reclaim", &LedgerService::reclaim },
        { "", "/", nullptr, &LedgerService::call },
    } };
    return All;
}

Task<void> LedgerService::serve(HttpExchange &exchange)
{
    return serveRoute(*this, routes(), exchange);
}

Run LedgerService::runOf(const HttpRequest &request) const
{
    Run run;
    run.key = request.fields.find("Idempotency-Key").value_or("");
    run.request = request.fields.find("Snipestall-Request").value_or("");
    run.attempt = request.fields.find("Snipestall-Attempt").value_or("");
    if (m_noticedAt) {
        run.afterNoticeMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                                std::chrono::steady_clock::now() - *m_noticedAt)
                                .count();
    }
    return run;
}

// The call takes effect on arrival and is answered after the simulated work, so that a connection
// cut in between leaves an effect without an answer.
Task<void> LedgerService::call(HttpExchange &exchange)
{
    if (m_callsToDrop > 0) {
        --m_callsToDrop;
        exchange.abort();
        co_return;
    }
    const Run run = runOf(exchange.request());
    const std::int64_t count = m_runs.add(run);
    const bool cut = m_answersToCut > 0;
    if (cut)
        --m_answersToCut;
    ++m_running;
    co_await wire::sleepFor(m_options.work);
    --m_running;
    if (cut) {
        exchange.abort();
        co_return;
    }
    const bool stranger = m_strangerAnswers > 0;
    if (stranger)
        --m_strangerAnswers;
    const std::string receiptId = run.key.empty() ? run.request : run.key;
    const std::string attempt = stranger ? "stranger" : run.attempt;
    json::object answer;
    answer["receipt"] = "receipt-" + (stranger ? attempt : receiptId);
    answer["attempt"] = attempt;
    answer["runs"] = count;
    HttpResponse response = HttpResponse::json(200, json::serialize(answer));
    response.fields.set("Snipestall-Attempt", attempt);
    co_await exchange.respond(std::move(response));
}

HttpResponse LedgerService::load(const HttpRequest &)
{
    json::object answer;
    answer["name"] = m_options.name;
    answer["incarnation"] = m_options.incarnation;
    answer["service"] = m_options.service;
    answer["models"] = json::array();
    answer["slots"] = m_options.slots;
    answer["running"] = m_running;
    answer["queued"] = 0;
    answer["leaving"] = m_noticedAt.has_value();
    if (m_noticedAt) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            m_noticeEndsAt - std::chrono::steady_clock::now());
        answer["notice_ms"] = std::max<std::int64_t>(left.count(), 0);
    }
    answer["age_ms"] = 0;
    return HttpResponse::json(200, json::serialize(answer));
}

HttpResponse LedgerService::runs(const HttpRequest &)
{
    json::object answer;
    answer["runs"] = m_runs.toJson();
    return HttpResponse::json(200, json::serialize(answer));
}

HttpResponse LedgerService::control(const HttpRequest &request)
{
    const auto body = parseObject(request.body);
    m_answersToCut = integerField(body, "cut_next_answers", m_answersToCut);
    m_callsToDrop = integerField(body, "drop_next_calls", m_callsToDrop);
    m_strangerAnswers = integerField(body, "stranger_answers", m_strangerAnswers);
    m_options.work = millisecondsField(body, "work_ms", m_options.work);
    return noContent();
}

HttpResponse LedgerService::reclaim(const HttpRequest &request)
{
    const auto body = parseObject(request.body);
    const auto notice = millisecondsField(body, "notice_ms", std::chrono::milliseconds(0));
    if (m_noticedAt)
        return noContent();
    m_noticedAt = std::chrono::steady_clock::now();
    m_noticeEndsAt = *m_noticedAt + notice;
    boost::asio::co_spawn(m_io, leaveAfter(notice), boost::asio::detached);
    return noContent();
}

Task<void> LedgerService::leaveAfter(std::chrono::milliseconds notice)
{
    co_await wire::sleepFor(notice);
    if (m_onReclaimed)
        m_onReclaimed();
}

} // namespace snipestall::standins
