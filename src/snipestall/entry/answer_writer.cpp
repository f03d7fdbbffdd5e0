#include "answer_writer.hpp"

#include "snipestall/wire/http_exchange.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace snipestall::entry {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

std::string seconds(milliseconds retryAfter)
{
    constexpr std::int64_t PerSecond = 1000;
    return std::to_string((retryAfter.count() + PerSecond - 1) / PerSecond);
}

std::string_view advice(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "the request was not run; sending it again is safe";
    case Outcome::Unknown:
        return "the request may have run; check with the service before you send it again";
    case Outcome::Failed:
        return "the request was run and failed; send it again only if it may run twice";
    case Outcome::Completed:
        break;
    }
    return "";
}

wire::HttpResponse failure(const Request &request)
{
    const FinalAnswer &answer = *request.finalAnswer();
    const std::string message = answer.reason + ": " + std::string(advice(answer.outcome));
    auto response = errorResponse(answer.status, toString(answer.outcome), answer.code, message,
                                  answer.retryAfter);
    response.fields.set("Snipestall-Request-Id", request.spec().id);
    return response;
}

std::string chunkOf(const Request &request, std::uint64_t offset, bool chat)
{
    json::object choice;
    choice["index"] = 0;
    if (chat)
        choice["delta"] = { { "content", request.piece(offset) } };
    else
        choice["text"] = request.piece(offset);
    json::object chunk;
    chunk["id"] = request.spec().id;
    chunk["object"] = chat ? "chat.completion.chunk" : "text_completion";
    chunk["choices"] = json::array { choice };
    return "id: " + std::to_string(offset) + "\ndata: " + json::serialize(chunk) + "\n\n";
}

std::string wholeBody(const Request &request, bool chat)
{
    std::string text;
    for (std::uint64_t i = request.firstOffset(); i < request.nextOffset(); ++i)
        text += request.piece(i);
    json::object choice;
    choice["index"] = 0;
    choice["finish_reason"] = "stop";
    if (chat)
        choice["message"] = { { "role", "assistant" }, { "content", text } };
    else
        choice["text"] = text;
    json::object body;
    body["id"] = request.spec().id;
    body["object"] = chat ? "chat.completion" : "text_completion";
    body["model"] = request.spec().model;
    body["choices"] = json::array { choice };
    body["usage"] = { { "prompt_tokens", request.spec().promptTokens },
                      { "completion_tokens", request.nextOffset() } };
    return json::serialize(body);
}

wire::HttpResponse wholeAnswer(const Request &request, bool chat)
{
    const FinalAnswer &answer = *request.finalAnswer();
    wire::HttpResponse response;
    const bool model = request.spec().kind == settings::ServiceKind::Model;
    if (model)
        response = wire::HttpResponse::json(200, wholeBody(request, chat));
    else
        response.body = answer.body;
    if (!model) {
        response.status = answer.status;
        response.fields.set("Content-Type", answer.contentType);
    }
    response.fields.set("Snipestall-Request-Id", request.spec().id);
    response.fields.set("Snipestall-Outcome", std::string(toString(answer.outcome)));
    return response;
}

/// Returns whether the caller may see the final answer, which requires that the buddy has it.
bool endReleased(const Request &request)
{
    return request.finished() && request.released() >= request.progress();
}

/// Builds the last events of a stream. The status line has already been sent, so a failure is
/// reported as a separate event.
std::string lastEvents(const Request &request)
{
    const FinalAnswer &answer = *request.finalAnswer();
    if (answer.outcome == Outcome::Completed)
        return "data: [DONE]\n\n";
    json::object error;
    error["type"] = answer.code;
    error["message"] = answer.reason + ": " + std::string(advice(answer.outcome));
    error["outcome"] = toString(answer.outcome);
    json::object envelope;
    envelope["error"] = error;
    return "event: error\ndata: " + json::serialize(envelope) + "\n\n";
}

std::string comeBackEvent(const Request &request, std::uint64_t next)
{
    json::object location;
    location["request"] = request.spec().id;
    location["offset"] = next;
    location["path"] = "/v1/requests/" + request.spec().id;
    return "event: come-back\ndata: " + json::serialize(location) + "\n\n";
}

wire::Task<void> writeStream(wire::HttpExchange &exchange, RequestPtr request, AnswerFormat form)
{
    wire::HttpResponse head;
    head.fields.set("Content-Type", "text/event-stream");
    head.fields.set("Cache-Control", "no-store");
    head.fields.set("Snipestall-Request-Id", request->spec().id);
    co_await exchange.beginStream(std::move(head));
    std::uint64_t next = std::max(form.from, request->firstOffset());
    while (true) {
        const std::uint64_t end = std::min(request->released(), request->nextOffset());
        std::string batch;
        for (; next < end; ++next)
            batch += chunkOf(*request, next, form.chat);
        if (!batch.empty()) {
            co_await exchange.write(std::move(batch));
            continue;
        }
        if (endReleased(*request))
            break;
        if (request->moved) {
            co_await exchange.write(comeBackEvent(*request, next));
            exchange.abort();
            co_return;
        }
        co_await request->changed().wait();
    }
    co_await exchange.write(lastEvents(*request));
    co_await exchange.finish();
}

} // namespace

wire::HttpResponse errorResponse(int status, std::string_view outcome, std::string_view type,
                                 std::string_view message, milliseconds retryAfter)
{
    json::object error;
    error["type"] = type;
    error["message"] = message;
    if (!outcome.empty())
        error["outcome"] = outcome;
    json::object envelope;
    envelope["error"] = error;
    auto response = wire::HttpResponse::json(status, json::serialize(envelope));
    if (!outcome.empty())
        response.fields.set("Snipestall-Outcome", std::string(outcome));
    if (retryAfter.count() > 0)
        response.fields.set("Retry-After", seconds(retryAfter));
    return response;
}

wire::Task<void> writeAnswer(wire::HttpExchange &exchange, RequestPtr request, AnswerFormat form)
{
    const bool model = request->spec().kind == settings::ServiceKind::Model;
    const bool stream = form.stream && model;
    const auto ready = [&] {
        const bool begun = std::min(request->released(), request->nextOffset()) > form.from;
        return endReleased(*request) || request->moved || (stream && begun);
    };
    while (!ready())
        co_await request->changed().wait();
    if (request->finished() && request->finalAnswer()->outcome != Outcome::Completed
        && request->nextOffset() <= form.from) {
        auto response = failure(*request);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (stream) {
        co_await writeStream(exchange, request, form);
        co_return;
    }
    if (request->moved && !request->finished()) {
        auto response = errorResponse(
            307, "", "moved", "the request continues on another instance; reconnect to read it");
        response.fields.set("Location", "/v1/requests/" + request->spec().id);
        response.fields.set("Snipestall-Request-Id", request->spec().id);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const bool completed = request->finalAnswer()->outcome == Outcome::Completed;
    auto response = completed ? wholeAnswer(*request, form.chat) : failure(*request);
    co_await exchange.respond(std::move(response));
}

} // namespace snipestall::entry
