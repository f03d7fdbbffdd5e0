#include "load_generator.hpp"

#include "snipestall/wire/signal.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>

#include <array>
#include <charconv>

namespace snipestall::load {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds OpenCallsPollInterval { 20 };

/// Statuses that mean that the call itself is invalid, so that it would fail at any other time too.
constexpr std::array CallerErrorStatuses { 400, 401, 403, 404, 405, 409, 413 };

std::optional<milliseconds> retryAfter(const wire::HttpResponse &response)
{
    const std::string text = response.fields.find("Retry-After").value_or("");
    std::int64_t seconds = 0;
    const auto [stop, code] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (text.empty() || code != std::errc {})
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

std::string errorMessage(const std::string &body)
{
    boost::system::error_code ec;
    const json::value value = json::parse(body, ec);
    if (ec || !value.is_object())
        return body.substr(0, 200);
    const json::value *error = value.as_object().if_contains("error");
    if (error == nullptr || !error->is_object() || !error->as_object().contains("message"))
        return body.substr(0, 200);
    const json::value &message = error->as_object().at("message");
    return message.is_string() ? std::string(message.as_string()) : std::string();
}

void recordNotRun(int status, CallRecord &record, bool withTime)
{
    for (const int invalidStatus : CallerErrorStatuses) {
        if (status == invalidStatus) {
            record.outcome = CallOutcome::Rejected;
            return;
        }
    }
    record.outcome = CallOutcome::NotRun;
    record.refusals.push_back({ record.request, withTime });
}

} // namespace

wire::HttpFields callHeaders(const CallContext &context, const PlannedCall &call)
{
    const WorkClass &work = context.mix.classes[call.workClass];
    wire::HttpFields fields;
    fields.set("Content-Type", "application/json");
    fields.set("Authorization", "Bearer " + (work.key.empty() ? context.key : work.key));
    if (!call.idempotencyKey.empty())
        fields.set("Idempotency-Key", call.idempotencyKey);
    if (!call.idempotent)
        fields.set("Snipestall-Idempotent", "no");
    if (work.deadline.count() > 0)
        fields.set("Snipestall-Deadline-Ms", std::to_string(work.deadline.count()));
    if (!work.urgency.empty())
        fields.set("Snipestall-Urgency", work.urgency);
    return fields;
}

CallRecord newRecord(const CallContext &context, const PlannedCall &call)
{
    CallRecord record;
    record.workClass = call.workClass;
    record.number = call.number;
    record.idempotencyKey = call.idempotencyKey;
    record.idempotent = call.idempotent;
    record.service = context.mix.classes[call.workClass].model.empty();
    return record;
}

std::optional<milliseconds> readErrorAnswer(const wire::HttpResponse &response, CallRecord &record)
{
    const auto time = retryAfter(response);
    const std::string outcome = response.fields.find("Snipestall-Outcome").value_or("");
    record.request = response.fields.find("Snipestall-Request-Id").value_or("");
    record.reason = errorMessage(response.body);
    if (outcome == "not-run") {
        recordNotRun(response.status, record, time.has_value());
    } else if (outcome == "unknown") {
        record.outcome = CallOutcome::Unknown;
    } else if (outcome == "failed") {
        record.outcome = CallOutcome::Failed;
    } else if (response.status >= 400 && response.status < 500) {
        record.outcome = CallOutcome::Rejected;
    } else {
        record.outcome = CallOutcome::Failed;
        record.violations.push_back(
            { ViolationKind::Unlabelled,
              "status " + std::to_string(response.status) + " without Snipestall-Outcome" });
    }
    return time;
}

LoadGenerator::LoadGenerator(boost::asio::io_context &io, CallContext context,
                             std::size_t maxOpenCalls)
    : m_io(io)
    , m_context(std::move(context))
    , m_maxOpenCalls(maxOpenCalls)
{ }

wire::Task<void> LoadGenerator::send(const std::vector<PlannedCall> &plan, bool direct)
{
    const SteadyTime start = std::chrono::steady_clock::now();
    for (const auto &call : plan) {
        const bool service = m_context.mix.classes[call.workClass].model.empty();
        if (direct && service)
            continue;
        const SteadyTime due = start + call.at;
        const auto wait = due - std::chrono::steady_clock::now();
        if (wait.count() > 0)
            co_await wire::sleepFor(wait);
        m_context.results.startLag.add(std::chrono::steady_clock::now() - due);
        if (m_openCalls >= m_maxOpenCalls) {
            ++m_context.results.notSent;
            continue;
        }
        const CallRunner snipestallRunner = service ? runServiceCall : runChatCall;
        const CallRunner runner = direct ? runDirectCall : snipestallRunner;
        boost::asio::co_spawn(m_io, runCall(runner, call, due), boost::asio::detached);
        if (call.repeated && service && !direct)
            boost::asio::co_spawn(m_io, runRepeat(call, due), boost::asio::detached);
    }
    while (m_openCalls > 0)
        co_await wire::sleepFor(OpenCallsPollInterval);
}

wire::Task<void> LoadGenerator::runCall(CallRunner runner, const PlannedCall &call, SteadyTime due)
{
    ++m_openCalls;
    CallRecord record = co_await runner(m_context, call, due);
    record.total = std::chrono::steady_clock::now() - due;
    ClassTimes &times = m_context.results.classes[record.workClass];
    if (record.outcome == CallOutcome::Completed)
        times.total.add(record.total);
    if (record.tokens > 0)
        times.firstToken.add(record.firstToken);
    m_context.results.records.push_back(std::move(record));
    --m_openCalls;
}

wire::Task<void> LoadGenerator::runRepeat(const PlannedCall &call, SteadyTime due)
{
    ++m_openCalls;
    const auto after = m_context.mix.classes[call.workClass].repeatAfter;
    if (after.count() > 0)
        co_await wire::sleepFor(after);
    PlannedCall repeat = call;
    ++repeat.target;
    co_await runCall(runServiceCall, repeat, due + after);
    --m_openCalls;
}

} // namespace snipestall::load
