#include "answer_checker.hpp"
#include "load_generator.hpp"
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
constexpr std::size_t MaxTargetRounds = 3;
constexpr milliseconds RetryPause { 100 };
constexpr milliseconds IdleTimeout { 30000 };
/// Deadline of calls that set none; the default of the settings.
constexpr milliseconds DefaultDeadline { 60000 };

enum class StreamEnd {
    Complete,
    Cut,
    /// The stream ended with an error event that names the outcome.
    ErrorEvent,
};

/// One chat call through snipestall. It is resumed after its stream was cut, and sent again after a
/// refusal with a Retry-After header.
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
        const milliseconds deadline = asked.count() > 0 ? asked : DefaultDeadline;
        m_resumeUntil = due + deadline + context.patience;
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
        return { "POST", "/v1/chat/completions", callHeaders(m_context, m_call),
                 json::serialize(body) };
    }

    Task<void> submit()
    {
        const std::size_t tries = m_context.targets.size() * MaxTargetRounds;
        m_record.outcome = CallOutcome::Unreachable;
        for (std::size_t i = 0; i < tries; ++i) {
            const wire::Endpoint target = m_context.target(m_target);
            wire::HttpCallOptions options;
            options.idleTimeout = IdleTimeout;
            auto stream = co_await m_context.client.open(target, request(), std::move(options));
            if (stream) {
                co_await readAnswer(std::move(*stream));
                co_return;
            }
            ++m_target;
            m_record.reason = stream.error().message;
            const bool maybeSent = stream.error().kind != ErrorKind::Unavailable;
            const bool mayResend = m_call.idempotent || !m_call.idempotencyKey.empty();
            if (maybeSent && !mayResend) {
                m_record.outcome = CallOutcome::NoAnswer;
                co_return;
            }
            m_record.resends += maybeSent ? 1 : 0;
            co_await wire::sleepFor(RetryPause);
        }
    }

    Task<void> readAnswer(StreamPtr stream)
    {
        const HttpResponse &head = stream->head();
        m_record.request = head.fields.find("Snipestall-Request-Id").value_or("");
        const bool redirected = head.status == 307;
        if (head.status != 200 && !redirected) {
            co_await readError(std::move(stream));
            co_return;
        }
        StreamEnd end = StreamEnd::Cut;
        if (!redirected)
            end = co_await readEvents(*stream);
        stream.reset();
        if (end == StreamEnd::Cut)
            co_await resume();
        else if (end == StreamEnd::Complete)
            markCompleted();
    }

    Task<void> readError(StreamPtr stream)
    {
        HttpResponse response = stream->head();
        auto bytes = co_await stream->read();
        while (bytes && bytes->has_value()) {
            response.body += **bytes;
            bytes = co_await stream->read();
        }
        m_retryAfter = readErrorAnswer(response, m_record);
    }

    void markCompleted()
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
                co_return done ? StreamEnd::Complete : StreamEnd::Cut;
            if (!bytes->has_value())
                break;
            for (const auto &event : parser.feed(**bytes)) {
                if (event.event == "error") {
                    readErrorEvent(event.data);
                    co_return StreamEnd::ErrorEvent;
                }
                done = done || event.data == "[DONE]";
                if (event.event.empty() && event.data != "[DONE]")
                    readChunk(event.data);
            }
        }
        co_return done ? StreamEnd::Complete : StreamEnd::Cut;
    }

    void readChunk(const std::string &data)
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
        m_checker.addText(text);
        m_times.recordToken(std::chrono::steady_clock::now(), m_record);
    }

    void readErrorEvent(const std::string &data)
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
        m_retryAfter = readErrorAnswer(response, m_record);
    }

    Task<void> resume()
    {
        m_record.outcome = CallOutcome::Lost;
        while (std::chrono::steady_clock::now() < m_resumeUntil) {
            ++m_target;
            ++m_record.comeBacks;
            const wire::Endpoint target = m_context.target(m_target);
            wire::HttpCallOptions options;
            options.idleTimeout = IdleTimeout;
            auto stream =
                co_await m_context.client.open(target, resumeRequest(), std::move(options));
            bool ended = false;
            if (stream)
                ended = co_await readResumedAnswer(std::move(*stream));
            else
                m_record.reason = stream.error().message;
            if (ended)
                co_return;
            co_await wire::sleepFor(RetryPause);
        }
        m_record.violations.push_back(
            { ViolationKind::Lost, "request " + m_record.request + ": " + m_record.reason });
    }

    [[nodiscard]] wire::HttpRequest resumeRequest() const
    {
        wire::HttpRequest request;
        request.target = "/v1/requests/" + m_record.request;
        request.fields.set("Authorization",
                           callHeaders(m_context, m_call).find("Authorization").value_or(""));
        request.fields.set("Accept", "text/event-stream");
        if (m_checker.nextIndex() > 0)
            request.fields.set("Last-Event-ID", std::to_string(m_checker.nextIndex() - 1));
        return request;
    }

    /// Returns false if the caller has to resume the request once more.
    Task<bool> readResumedAnswer(StreamPtr stream)
    {
        const int status = stream->head().status;
        if (status == 200) {
            const StreamEnd end = co_await readEvents(*stream);
            if (end == StreamEnd::Complete)
                markCompleted();
            co_return end != StreamEnd::Cut;
        }
        const std::string nextOffset =
            stream->head().fields.find("Snipestall-Next-Offset").value_or("");
        if (status == 409 && !nextOffset.empty()) {
            std::int64_t offset = 0;
            std::from_chars(nextOffset.data(), nextOffset.data() + nextOffset.size(), offset);
            m_checker.rewind(offset);
            ++m_record.rewinds;
            co_return false;
        }
        if (!stream->head().fields.find("Snipestall-Outcome")) {
            m_record.reason =
                "the request to resume was answered with status " + std::to_string(status);
            co_return false;
        }
        co_await readError(std::move(stream));
        co_return true;
    }

    CallContext &m_context;
    const PlannedCall &m_call;
    TokenTimes m_times;
    AnswerChecker m_checker;
    CallRecord m_record;
    std::size_t m_target;
    SteadyTime m_resumeUntil {};
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
