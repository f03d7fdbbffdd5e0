#include "load_generator.hpp"

#include "snipestall/wire/signal.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace snipestall::load {

namespace json = boost::json;
using std::chrono::milliseconds;
using wire::HttpResponse;
using wire::Task;

namespace {

constexpr int MaxTries = 5;
constexpr std::size_t MaxTargetRounds = 3;
constexpr milliseconds RetryPause { 100 };
constexpr milliseconds IdleTimeout { 30000 };

/// One call of a plain service through snipestall.
class ServiceCall
{
public:
    ServiceCall(CallContext &context, const PlannedCall &call)
        : m_context(context)
        , m_call(call)
        , m_record(newRecord(context, call))
        , m_target(call.target)
    { }

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
        co_return std::move(m_record);
    }

private:
    [[nodiscard]] wire::HttpRequest request() const
    {
        const WorkClass &work = m_context.mix.classes[m_call.workClass];
        json::object body;
        body["account"] = "vessel-" + std::to_string(m_call.number);
        body["amount"] = m_call.maxTokens;
        return { "POST", "/services/" + work.service + work.path, callHeaders(m_context, m_call),
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
            options.freshConnection = true;
            const auto response =
                co_await m_context.client.fetch(target, request(), std::move(options));
            if (response) {
                readResponse(*response);
                co_return;
            }
            ++m_target;
            m_record.reason = response.error().message;
            const bool maybeSent = response.error().kind != ErrorKind::Unavailable;
            const bool mayResend = m_call.idempotent || !m_call.idempotencyKey.empty();
            m_record.outcome = maybeSent ? CallOutcome::NoAnswer : m_record.outcome;
            if (maybeSent && !mayResend)
                co_return;
            m_record.resends += maybeSent ? 1 : 0;
            co_await wire::sleepFor(RetryPause);
        }
    }

    void readResponse(const HttpResponse &response)
    {
        if (response.status != 200) {
            m_retryAfter = readErrorAnswer(response, m_record);
            return;
        }
        m_record.request = response.fields.find("Snipestall-Request-Id").value_or("");
        m_record.outcome = CallOutcome::Completed;
        boost::system::error_code ec;
        const json::value body = json::parse(response.body, ec);
        const json::value *receipt = ec ? nullptr : body.find_pointer("/receipt", ec);
        if (receipt == nullptr || !receipt->is_string()) {
            addViolation(ViolationKind::Cut,
                         "the answer has no receipt: '" + response.body.substr(0, 100) + "'");
            return;
        }
        m_record.receipt = std::string(receipt->as_string());
        checkReceipt();
        const json::value *runs = body.find_pointer("/runs", ec);
        const bool ranRepeatedly =
            runs != nullptr && runs->is_number() && runs->to_number<int>() > 1;
        if (ranRepeatedly && !m_call.idempotent)
            addViolation(ViolationKind::Doubled,
                         "the service reports more than one run: " + m_record.receipt);
    }

    void checkReceipt()
    {
        const std::string &name =
            m_call.idempotencyKey.empty() ? m_record.request : m_call.idempotencyKey;
        if (m_record.receipt != "receipt-" + name)
            addViolation(ViolationKind::Mixed, "receipt " + m_record.receipt + " for " + name);
    }

    void addViolation(ViolationKind kind, std::string detail)
    {
        m_record.violations.push_back({ kind, std::move(detail) });
    }

    CallContext &m_context;
    const PlannedCall &m_call;
    CallRecord m_record;
    std::size_t m_target;
    std::optional<milliseconds> m_retryAfter;
};

} // namespace

Task<CallRecord> runServiceCall(CallContext &context, const PlannedCall &call, SteadyTime)
{
    ServiceCall service(context, call);
    CallRecord record = co_await service.run();
    co_return record;
}

} // namespace snipestall::load
