#include "answer_checker.hpp"
#include "caller.hpp"
#include "token_times.hpp"

#include "snipestall/wire/event_stream_parser.hpp"
#include "snipestall/wire/http_stream.hpp"
#include "snipestall/wire/signal.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace snipestall::load {

namespace json = boost::json;
using std::chrono::milliseconds;
using wire::HttpResponse;
using wire::Task;
using StreamPtr = std::unique_ptr<wire::HttpStream>;

namespace {

constexpr int MaxTries = 5;
constexpr std::size_t RoundsOfTargets = 3;
constexpr milliseconds RoundPause { 100 };
constexpr milliseconds SilenceLimit { 30000 };
/// Of calls that name none; the settings' default.
constexpr milliseconds UsualDeadline { 60000 };

enum class StreamEnd {
    Whole,
    Cut,
    /// The stream itself told the outcome.
    Told,
};

/// One chat call through snipestall: sent, read, come back for after a cut, tried again after a
/// refusal.
class ChatCall
{
public:
    ChatCall(CallContext &context, const PlannedCall &call, SteadyTime due)
        : m_context(context)
        , m_call(call)
        , m_times(due, context.results.classes[call.workClass].betweenTokens)
        , m_checker(call.prompt, call.maxTokens)
        , m_record(newRecord(context, call))
        , m_target(call.target)
    {
        const milliseconds asked = context.mix.classes[call.workClass].deadline;
        const milliseconds deadline = asked.count() > 0 ? asked : UsualDeadline;
        m_giveUp = due + deadline + context.patience;
    }

    Task<CallRecord> run()
    {
        for (int tries = 1;; ++tries) {
            m_retryAfter.reset();
            co_await submit();
            const bool refused = m_record.outcome == CallOutcome::NotRun && m_retryAfter;
            if (!refused || !m_call.followsRetryAfter || tries == MaxTries)
                break;
            co_await wire::sleepFor(*m_retryAfter);
        }
        m_record.violations.insert(m_record.violations.end(), m_checker.violations().begin(),
                                   m_checker.violations().end());
        co_return std::move(m_record);
    }

private:
    [[nodiscard]] wire::HttpRequest request() const
    {
        const std::string &model = m_context.mix.classes[m_call.workClass].model;
        json::object message;
        message["role"] = "user";
        message["content"] = m_call.prompt;
        json::object body;
        body["model"] = model;
        body["stream"] = true;
        body["max_tokens"] = m_call.maxTokens;
        body["messages"] = json::array { std::move(message) };
        return { "POST", "/v1/chat/completions", callFields(m_context, m_call),
                 json::serialize(body) };
    }

    Task<void> submit()
    {
        const std::size_t tries = m_context.targets.size() * RoundsOfTargets;
        m_record.outcome = CallOutcome::Unreachable;
        for (std::size_t i = 0; i < tries; ++i) {
            const wire::Endpoint target = m_context.target(m_target);
            wire::HttpCallOptions options;
            options.idleTimeout = SilenceLimit;
            auto stream = co_await m_context.client.open(target, request(), std::move(options));
            if (stream) {
                co_await takeAnswer(std::move(*stream));
                co_return;
            }
            ++m_target;
            m_record.reason = stream.error().message;
            const bool left = stream.error().kind != ErrorKind::Unavailable;
            const bool mayRepeat = m_call.idempotent || !m_call.idempotencyKey.empty();
            if (left && !mayRepeat) {
                m_record.outcome = CallOutcome::NoAnswer;
                co_return;
            }
            m_record.resends += left ? 1 : 0;
            co_await wire::sleepFor(RoundPause);
        }
    }

    Task<void> takeAnswer(StreamPtr stream)
    {
        const HttpResponse &head = stream->head();
        m_record.request = head.fields.find("Snipestall-Request-Id").value_or("");
        const bool moved = head.status == 307;
        if (head.status != 200 && !moved) {
            co_await takeError(std::move(stream));
            co_return;
        }
        StreamEnd end = StreamEnd::Cut;
        if (!moved)
            end = co_await readEvents(*stream);
        stream.reset();
        if (end == StreamEnd::Cut)
            co_await comeBack();
        else if (end == StreamEnd::Whole)
            completed();
    }

    Task<void> takeError(StreamPtr stream)
    {
        HttpResponse response = stream->head();
        auto bytes = co_await stream->read();
        while (bytes && bytes->has_value()) {
            response.body += **bytes;
            bytes = co_await stream->read();
        }
        m_retryAfter = readRefusal(response, m_record);
    }

    void completed()
    {
        m_record.outcome = CallOutcome::Completed;
        m_checker.end();
    }

    Task<StreamEnd> readEvents(wire::HttpStream &stream)
    {
        wire::EventStreamParser parser;
        bool done = false;
        while (true) {
            auto bytes = co_await stream.read();
            if (!bytes)
                co_return done ? StreamEnd::Whole : StreamEnd::Cut;
            if (!bytes->has_value())
                break;
            for (const auto &event : parser.feed(**bytes)) {
                if (event.event == "error") {
                    takeErrorEvent(event.data);
                    co_return StreamEnd::Told;
                }
                done = done || event.data == "[DONE]";
                if (event.event.empty() && event.data != "[DONE]")
                    takeChunk(event.data);
            }
        }
        co_return done ? StreamEnd::Whole : StreamEnd::Cut;
    }

    void takeChunk(const std::string &data)
    {
        boost::system::error_code ec;
        const json::value chunk = json::parse(data, ec);
        const json::value *content =
            ec ? nullptr : chunk.find_pointer("/choices/0/delta/content", ec);
        if (content == nullptr || !content->is_string())
            return;
        const std::string_view text = content->as_string();
        if (text.empty())
            return;
        m_checker.take(text);
        m_times.token(std::chrono::steady_clock::now(), m_record);
    }

    void takeErrorEvent(const std::string &data)
    {
        HttpResponse response;
        response.status = 500;
        response.body = data;
        boost::system::error_code ec;
        const json::value value = json::parse(data, ec);
        const json::value *outcome = ec ? nullptr : value.find_pointer("/error/outcome", ec);
        if (outcome != nullptr && outcome->is_string())
            response.fields.set("Snipestall-Outcome", std::string(outcome->as_string()));
        response.fields.set("Snipestall-Request-Id", m_record.request);
        m_retryAfter = readRefusal(response, m_record);
    }

    Task<void> comeBack()
    {
        m_record.outcome = CallOutcome::Lost;
        while (std::chrono::steady_clock::now() < m_giveUp) {
            ++m_target;
            ++m_record.comeBacks;
            const wire::Endpoint target = m_context.target(m_target);
            wire::HttpCallOptions options;
            options.idleTimeout = SilenceLimit;
            auto stream =
                co_await m_context.client.open(target, comeBackRequest(), std::move(options));
            bool ended = false;
            if (stream)
                ended = co_await takeRest(std::move(*stream));
            else
                m_record.reason = stream.error().message;
            if (ended)
                co_return;
            co_await wire::sleepFor(RoundPause);
        }
        m_record.violations.push_back(
            { ViolationKind::Lost, "request " + m_record.request + ": " + m_record.reason });
    }

    [[nodiscard]] wire::HttpRequest comeBackRequest() const
    {
        wire::HttpRequest request;
        request.target = "/v1/requests/" + m_record.request;
        request.fields.set("Authorization",
                           callFields(m_context, m_call).find("Authorization").value_or(""));
        request.fields.set("Accept", "text/event-stream");
        if (m_checker.next() > 0)
            request.fields.set("Last-Event-ID", std::to_string(m_checker.next() - 1));
        return request;
    }

    /// False if the caller has to come back once more.
    Task<bool> takeRest(StreamPtr stream)
    {
        const int status = stream->head().status;
        if (status == 200) {
            const StreamEnd end = co_await readEvents(*stream);
            if (end == StreamEnd::Whole)
                completed();
            co_return end != StreamEnd::Cut;
        }
        const std::string next = stream->head().fields.find("Snipestall-Next-Offset").value_or("");
        if (status == 409 && !next.empty()) {
            std::int64_t offset = 0;
            std::from_chars(next.data(), next.data() + next.size(), offset);
            m_checker.rewind(offset);
            ++m_record.rewinds;
            co_return false;
        }
        if (!stream->head().fields.find("Snipestall-Outcome")) {
            m_record.reason = "come-back answered with status " + std::to_string(status);
            co_return false;
        }
        co_await takeError(std::move(stream));
        co_return true;
    }

    CallContext &m_context;
    const PlannedCall &m_call;
    TokenTimes m_times;
    AnswerChecker m_checker;
    CallRecord m_record;
    std::size_t m_target;
    SteadyTime m_giveUp {};
    std::optional<milliseconds> m_retryAfter;
};

} // namespace

Task<CallRecord> runChatCall(CallContext &context, const PlannedCall &call, SteadyTime due)
{
    ChatCall chat(context, call, due);
    CallRecord record = co_await chat.run();
    co_return record;
}

} // namespace snipestall::load
