#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/entry/backend_directory.hpp"
#include "snipestall/entry/crash_ledger.hpp"
#include "snipestall/entry/dispatcher.hpp"
#include "snipestall/entry/policy_loop.hpp"
#include "snipestall/entry/request_store.hpp"
#include "snipestall/peer/claim_keeper.hpp"
#include "snipestall/peer/peer_network.hpp"
#include "snipestall/wire/event_stream_parser.hpp"
#include "snipestall/wire/http_client.hpp"
#include "snipestall/wire/http_stream.hpp"

#include "attempt.hpp"
#include "outcome_unknown.hpp"
#include "server_probe.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <utility>

namespace snipestall::entry {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// An engine that sends nothing for this long during a stream counts as lost; the slowest token of
/// a healthy engine takes well under a second.
constexpr milliseconds TokenTimeout { 5000 };
constexpr milliseconds ExportTimeout { 3000 };
constexpr milliseconds DefaultRetryAfter { 1000 };
constexpr int StatusUnavailable = 503;
constexpr int StatusGatewayTimeout = 504;
constexpr int FirstErrorStatus = 400;

milliseconds retryAfterOf(const wire::HttpResponse &response)
{
    const std::string text = response.fields.find("Retry-After").value_or("");
    int seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return seconds > 0 ? milliseconds(std::chrono::seconds(seconds)) : DefaultRetryAfter;
}

milliseconds timeLeft(const Request &request)
{
    const auto left = request.spec().deadline - steady_clock::now();
    return std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(left));
}

wire::HttpRequest engineRequest(const Request &request, const std::string &attempt,
                                const std::string &kv)
{
    const RequestSpec &spec = request.spec();
    json::object body;
    body["model"] = spec.model;
    body["prompt"] = spec.body;
    body["max_tokens"] = spec.maxTokens;
    body["stream"] = true;
    body["request"] = spec.id;
    body["attempt"] = attempt;
    body["resume_from"] = request.nextOffset();
    body["priority"] = static_cast<int>(spec.urgency);
    if (!kv.empty())
        body["kv"] = kv;
    wire::HttpRequest call;
    call.method = "POST";
    call.target = "/v1/completions";
    call.fields.set("Content-Type", "application/json");
    call.body = json::serialize(body);
    return call;
}

wire::HttpRequest plainRequest(const Request &request, const std::string &attempt)
{
    const RequestSpec &spec = request.spec();
    wire::HttpRequest call;
    call.method = spec.method;
    call.target = spec.target;
    call.body = spec.body;
    if (!spec.contentType.empty())
        call.fields.set("Content-Type", spec.contentType);
    if (!spec.idempotencyKey.empty())
        call.fields.set("Idempotency-Key", spec.idempotencyKey);
    call.fields.set("Snipestall-Request", spec.id);
    call.fields.set("Snipestall-Attempt", attempt);
    return call;
}

} // namespace

wire::Task<void> Dispatcher::runOnServer(RequestPtr request, policy::AttemptHandle handle,
                                         Backend server, std::string kv)
{
    Attempt attempt;
    attempt.request = request;
    attempt.handle = handle;
    attempt.id = attemptId(handle);
    attempt.server = std::move(server);
    attempt.kv = std::move(kv);
    ++m_counters.attempts;
    m_onServer[handle] = attempt.server.handle;
    logEvent(events::AttemptStarted,
             { { "request", request->spec().id },
               { "attempt", attempt.id },
               { "on", attempt.server.listed.name } });
    request->cancelCallbacks()[handle.value] = [&attempt] { attempt.cancelled = true; };
    const bool allowed = co_await mayRun(attempt);
    if (allowed) {
        if (request->spec().kind == settings::ServiceKind::Model)
            co_await readModel(attempt);
        else
            co_await readPlain(attempt);
    }
    ended(attempt, policy::AttemptResult::NotSent);
}

/// Returns whether this attempt may be sent. If false, the attempt has been cancelled or ended, or
/// the request has finished.
wire::Task<bool> Dispatcher::mayRun(Attempt &attempt)
{
    const RequestPtr request = attempt.request;
    co_await accept(request);
    if (attempt.cancelled || request->finished() || request->moved)
        co_return false;
    const bool trialPassed = co_await awaitTrial(request);
    if (!trialPassed || attempt.cancelled)
        co_return false;
    if (request->spec().idempotent)
        co_return true;
    // A non-idempotent request is sent only once. If an earlier attempt may have sent a byte, the
    // outcome is unknown and the request is not sent again, whatever made the policy retry it.
    if (request->maybeSent()) {
        finish(request, outcomeUnknown("an earlier attempt of the request may have run"));
        co_return false;
    }
    if (!request->spec().idempotencyKey.empty())
        co_return co_await claim(attempt);
    co_return true;
}

// This check runs immediately before the first byte is sent. A process that was frozen between the
// decision and the send may resume after the deadline, when the caller has already been told that
// nothing ran. A request that was handed over in between may only be sent by the other instance.
// Once this returns true, the request can no longer be answered with `not-run`.
bool Dispatcher::beginSending(Attempt &attempt)
{
    Request &request = *attempt.request;
    const bool late = steady_clock::now() >= request.spec().deadline;
    if (attempt.cancelled || request.finished() || request.suspended || late)
        return false;
    request.markSent();
    return true;
}

wire::Task<void> Dispatcher::readModel(Attempt &attempt)
{
    const RequestPtr request = attempt.request;
    wire::HttpCallOptions options;
    options.idleTimeout = std::min(TokenTimeout, timeLeft(*request));
    options.freshConnection = !request->spec().idempotent;
    options.beforeSend = [&attempt] { return beginSending(attempt); };
    wire::HttpRequest call = engineRequest(*request, attempt.id, attempt.kv);
    auto stream = co_await m_deps.http->open(attempt.server.endpoint, std::move(call), options);
    if (!stream) {
        co_await handleCallError(attempt, stream.error());
        co_return;
    }
    const wire::HttpResponse head = (*stream)->head();
    if (head.status == StatusUnavailable)
        co_return declined(attempt, retryAfterOf(head));
    if (head.status >= FirstErrorStatus) {
        answered(attempt, head.status, "application/json", "");
        co_return;
    }
    // The response to an abandoned attempt may still arrive on its connection. A response that
    // belongs to another request or attempt is dropped together with the connection.
    if (head.fields.find("Snipestall-Attempt").value_or("") != attempt.id) {
        ++m_counters.mismatchedAnswers;
        co_return ended(attempt, policy::AttemptResult::ConnectionLost);
    }
    wire::HttpStream *raw = stream->get();
    request->cancelCallbacks()[attempt.handle.value] = [&attempt, raw] {
        attempt.cancelled = true;
        raw->close();
    };
    co_await readTokens(attempt, *raw);
}

wire::Task<void> Dispatcher::readTokens(Attempt &attempt, wire::HttpStream &stream)
{
    wire::EventStreamParser parser;
    while (!attempt.cancelled && !attempt.endHandled) {
        auto bytes = co_await stream.read();
        if (attempt.cancelled)
            co_return;
        if (!bytes) {
            co_await handleCallError(attempt, bytes.error());
            co_return;
        }
        if (!bytes->has_value())
            co_return ended(attempt, policy::AttemptResult::ConnectionLost);
        for (const wire::StreamEvent &event : parser.feed(**bytes)) {
            if (attempt.endHandled || !handleTokenEvent(attempt, event.data))
                co_return ended(attempt, policy::AttemptResult::ConnectionLost);
        }
    }
    // The end of the body follows the end event; after it is read, the connection can be reused.
    if (!attempt.cancelled)
        co_await stream.read();
}

bool Dispatcher::handleTokenEvent(Attempt &attempt, const std::string &data)
{
    boost::system::error_code parseError;
    const json::value value = json::parse(data, parseError);
    if (parseError || !value.is_object())
        return false;
    const json::object &token = value.get_object();
    const json::value *id = token.if_contains("attempt");
    if (id == nullptr || !id->is_string() || id->get_string() != attempt.id) {
        ++m_counters.mismatchedAnswers;
        return false;
    }
    const RequestPtr request = attempt.request;
    if (token.contains("end")) {
        if (const json::value *recomputed = token.if_contains("recomputed"))
            m_counters.recomputedTokens += recomputed->to_number<std::uint64_t>();
        answered(attempt, 200, "", "");
        return true;
    }
    const json::value *offset = token.if_contains("offset");
    const json::value *text = token.if_contains("text");
    if (offset == nullptr || text == nullptr || !text->is_string())
        return false;
    if (!request->append(offset->to_number<std::uint64_t>(), std::string(text->get_string())))
        return false;
    m_deps.policy->post(policy::TokensProduced { request->handle(), attempt.handle, 1 });
    return true;
}

wire::Task<void> Dispatcher::readPlain(Attempt &attempt)
{
    const RequestPtr request = attempt.request;
    wire::HttpCallOptions options;
    options.idleTimeout = timeLeft(*request);
    options.freshConnection = !request->spec().idempotent;
    options.beforeSend = [&attempt] { return beginSending(attempt); };
    wire::HttpRequest call = plainRequest(*request, attempt.id);
    auto response = co_await m_deps.http->fetch(attempt.server.endpoint, std::move(call), options);
    if (!response) {
        co_await handleCallError(attempt, response.error());
        co_return;
    }
    const std::string echoedAttempt =
        response->fields.find("Snipestall-Attempt").value_or(attempt.id);
    if (echoedAttempt != attempt.id) {
        ++m_counters.mismatchedAnswers;
        co_return ended(attempt, policy::AttemptResult::ConnectionLost);
    }
    // For a call that may run only once, a 503 does not prove that it was not run. It is passed on
    // as the answer.
    if (response->status == StatusUnavailable && request->spec().idempotent)
        co_return declined(attempt, retryAfterOf(*response));
    answered(attempt, response->status, response->fields.find("Content-Type").value_or(""),
             std::move(response->body));
}

void Dispatcher::answered(Attempt &attempt, int status, std::string contentType, std::string body)
{
    const RequestPtr request = attempt.request;
    const RequestSpec &spec = request->spec();
    FinalAnswer answer;
    const bool refused = spec.kind == settings::ServiceKind::Model && status >= FirstErrorStatus;
    answer.outcome = refused ? Outcome::Failed : Outcome::Completed;
    answer.status = status;
    answer.contentType = std::move(contentType);
    answer.body = std::move(body);
    if (refused) {
        answer.code = "rejected";
        answer.reason = "the backend server answered with status " + std::to_string(status);
    }
    ended(attempt, refused ? policy::AttemptResult::Rejected : policy::AttemptResult::Completed);
    const bool claimed = !spec.idempotent && !spec.idempotencyKey.empty();
    if (claimed) {
        const peer::ClaimKey key { spec.customer, spec.service, spec.idempotencyKey };
        const peer::StoredOutcome stored { answer.status, answer.contentType, answer.body,
                                           std::string(toString(answer.outcome)) };
        m_deps.claims->storeOutcome(key, request->claimedBy, stored);
    }
    request->finish(std::move(answer));
}

/// Handles a failed call. The result of the attempt depends on whether bytes were sent and whether
/// the server is still running.
wire::Task<void> Dispatcher::handleCallError(Attempt &attempt, Error error)
{
    const bool sent = error.kind != ErrorKind::Unavailable;
    if (sent)
        storeUnknownOutcome(attempt);
    if (attempt.cancelled || attempt.request->finished())
        co_return;
    m_deps.backends->pollNow(attempt.server.handle);
    if (!sent)
        co_return ended(attempt, policy::AttemptResult::NotSent);
    const bool died = co_await hasTerminated(*m_deps.http, attempt.server.endpoint);
    if (attempt.cancelled || attempt.request->finished())
        co_return;
    // A server that was announced as leaving has been stopped; no request caused that.
    const Backend *server = m_deps.backends->find(attempt.server.handle);
    const bool crashed = died && (server == nullptr || !server->leaving);
    if (crashed)
        recordCrash(attempt);
    ended(attempt,
          crashed ? policy::AttemptResult::ServerDied : policy::AttemptResult::ConnectionLost);
}

void Dispatcher::recordCrash(const Attempt &attempt)
{
    const RequestSpec &spec = attempt.request->spec();
    const std::string &server = attempt.server.listed.name;
    attempt.request->crashedServers().insert(server);
    const std::uint64_t fingerprint =
        CrashLedger::fingerprint(spec.customer, spec.service, spec.body);
    // Peers are notified immediately, because the caller may already be retrying at one of them.
    if (m_deps.crashes->add({ fingerprint, server }, steady_clock::now()))
        m_deps.network->announce();
}

wire::Task<void> Dispatcher::move(RequestPtr request, policy::MoveStream command, Backend from,
                                  Backend target)
{
    std::string kv;
    const bool exportsKv =
        command.method == policy::MoveMethod::ExportKv && from.endpoint.port != 0;
    if (exportsKv) {
        json::object body;
        body["attempt"] = attemptId(command.from);
        wire::HttpRequest call;
        call.method = "POST";
        call.target = "/kv/export";
        call.body = json::serialize(body);
        wire::HttpCallOptions options;
        options.idleTimeout = ExportTimeout;
        const auto response = co_await m_deps.http->fetch(from.endpoint, std::move(call), options);
        boost::system::error_code parseError;
        const json::value parsed =
            response ? json::parse(response->body, parseError) : json::value(nullptr);
        const bool exported =
            response && response->status == 200 && !parseError && parsed.is_object();
        if (exported && parsed.get_object().contains("kv"))
            kv = std::string(parsed.at("kv").as_string());
    }
    if (request->finished())
        co_return;
    const auto old = request->cancelCallbacks().find(command.from.value);
    if (old != request->cancelCallbacks().end()) {
        const auto cancel = std::move(old->second);
        request->cancelCallbacks().erase(old);
        cancel();
    }
    co_await runOnServer(request, command.attempt, std::move(target), std::move(kv));
}

} // namespace snipestall::entry
