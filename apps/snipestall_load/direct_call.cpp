#include "answer_checker.hpp"
#include "load_generator.hpp"
#include "token_times.hpp"

#include "snipestall/wire/event_stream_parser.hpp"
#include "snipestall/wire/http_stream.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace snipestall::load {

namespace json = boost::json;
using wire::Task;

namespace {

wire::HttpRequest engineRequest(const CallContext &context, const PlannedCall &call)
{
    const std::string id = "direct-" + std::to_string(call.number);
    json::object body;
    body["model"] = context.mix.classes[call.workClass].model;
    body["prompt"] = call.prompt;
    body["max_tokens"] = call.maxTokens;
    body["stream"] = true;
    body["request"] = id;
    body["attempt"] = id;
    return { "POST", "/v1/completions", {}, json::serialize(body) };
}

/// Returns true if the event ends the answer.
bool readEvent(const std::string &data, AnswerChecker &checker, TokenTimes &times,
               CallRecord &record)
{
    boost::system::error_code ec;
    const json::value event = json::parse(data, ec);
    if (ec || !event.is_object())
        return false;
    if (event.as_object().contains("end"))
        return true;
    const json::value *text = event.as_object().if_contains("text");
    if (text == nullptr || !text->is_string())
        return false;
    checker.addText(text->as_string());
    times.recordToken(std::chrono::steady_clock::now(), record);
    return false;
}

Task<bool> readAnswer(wire::HttpStream &stream, AnswerChecker &checker, TokenTimes &times,
                      CallRecord &record)
{
    wire::EventStreamParser parser;
    bool ended = false;
    while (true) {
        auto bytes = co_await stream.read();
        if (!bytes || !bytes->has_value())
            co_return ended;
        for (const auto &event : parser.feed(**bytes))
            ended = readEvent(event.data, checker, times, record) || ended;
    }
}

} // namespace

Task<CallRecord> runDirectCall(CallContext &context, const PlannedCall &call, SteadyTime due)
{
    CallRecord record = newRecord(context, call);
    TokenTimes times(due, context.results.classes[call.workClass].betweenTokens);
    AnswerChecker checker(call.prompt, call.maxTokens);
    const wire::Endpoint target = context.target(call.number);
    wire::HttpRequest request = engineRequest(context, call);
    auto stream = co_await context.client.open(target, std::move(request));
    record.outcome = CallOutcome::Unreachable;
    if (!stream)
        co_return record;
    record.outcome = CallOutcome::NotRun;
    if ((*stream)->head().status != 200)
        co_return record;
    const bool whole = co_await readAnswer(**stream, checker, times, record);
    record.outcome = whole ? CallOutcome::Completed : CallOutcome::Lost;
    if (whole)
        checker.end();
    record.violations = checker.violations();
    co_return record;
}

} // namespace snipestall::load
