#include "snipestall/gateway/request_relay.hpp"

#include "load_claim.hpp"
#include "platform/server_header.hpp"
#include "relay_text.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/base/rendezvous.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/gateway/server_fate.hpp"
#include "snipestall/wire/signal.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <utility>

namespace snipestall::gateway {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using wire::Task;

namespace {

/// Sends beyond the runs that a route allows: a server that says it did not run a request, or
/// that can't be reached, has not used an attempt up, but the search must end.
constexpr int MostRejections = 3;
/// A server of the same region accepts a connection within some round trips; the kernel sends a
/// lost opening packet again after a second.
constexpr milliseconds ConnectTimeout { 400 };
/// A server that ended refuses a connection within some round trips; one behind a partition does
/// not, and a caller waits for the repeat.
constexpr milliseconds FateWait { 50 };
constexpr milliseconds FateTick { 2 };
/// In which what another instance saw is told here: two of the exchange's intervals.
constexpr milliseconds ReportWait { 400 };
constexpr unsigned FirstNoSuccess = 300;
constexpr int LowestPriority = 9;

std::string secondsText(milliseconds time)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
    return text.data();
}

} // namespace

RequestRelay::RequestRelay(GatewayState &state, std::shared_ptr<CallerLink> caller)
    : m_state(state)
    , m_caller(std::move(caller))
    , m_answer(*m_caller)
    , m_received(state.clock.steadyNow())
{
    ++m_state.requestsInFlight;
    ++m_state.counters.requests;
}

RequestRelay::~RequestRelay()
{
    --m_state.requestsInFlight;
    m_caller->stopWatching();
}

CallerLink::Answer RequestRelay::ownAnswer(unsigned status) const
{
    CallerLink::Answer answer;
    answer.result(status);
    answer.version(m_caller->request().version());
    platform::markOwnAnswer(m_header.attemptId, answer);
    answer.prepare_payload();
    return answer;
}

CallerLink::Answer RequestRelay::refusal(unsigned status, milliseconds retryAfter) const
{
    CallerLink::Answer answer = ownAnswer(status);
    answer.set(http::field::retry_after, secondsText(retryAfter));
    return answer;
}

Task<void> RequestRelay::answer(CallerLink::Answer answer, const char *reason)
{
    const unsigned status = answer.result_int();
    if (m_state.draining())
        m_keepAlive = false;
    answer.keep_alive(m_keepAlive);
    m_keepAlive = co_await m_answer.writeWhole(std::move(answer)) && m_keepAlive;
    logEnd(status, reason);
}

void RequestRelay::logEnd(unsigned status, const char *reason) const
{
    const auto passed = m_state.clock.steadyNow() - m_received;
    m_state.metrics.ended(status, passed);
    logEvent(events::GatewayRequestEnded,
             { { "attempt", m_header.attemptId },
               { "status", std::to_string(status) },
               { "reason", reason },
               { "route", m_route == nullptr ? "" : m_route->name },
               { "customer", m_customer == nullptr ? "" : m_customer->name },
               { "units", m_customer == nullptr ? "" : wholeText(quotaUnits()) },
               { "config", m_catalogue ? std::to_string(m_catalogue->version()) : "none" },
               { "runs", std::to_string(m_runs) },
               { "sends", std::to_string(m_sends) },
               { "ms", std::to_string(inMillis(passed)) } });
}

void RequestRelay::giveUp()
{
    m_givenUp = true;
    if (m_call != nullptr)
        m_call->abort();
}

void RequestRelay::logCut() const
{
    logEvent(events::RequestCut,
             { { "attempt", m_header.attemptId },
               { "route", m_route == nullptr ? "" : m_route->name },
               { "runs", std::to_string(m_runs) },
               { "sends", std::to_string(m_sends) },
               { "answer_begun", m_answer.begun() ? "yes" : "no" },
               { "ms", std::to_string(inMillis(m_state.clock.steadyNow() - m_received)) } });
}

Task<bool> RequestRelay::run()
{
    m_header = platform::readCallerHeader(m_caller->request());
    m_keepAlive = m_caller->request().keep_alive();
    m_caller->watchLeaving([this] { callerLeft(); });
    co_await awaitStart();
    m_callerGone |= m_caller->hasLeft();
    if (m_callerGone)
        noteCallerLeft();
    else if (co_await admit())
        co_await serve();
    co_return m_keepAlive && !m_callerGone;
}

bool RequestRelay::maySend(const serving::ServerState &server)
{
    m_callerGone |= m_caller->hasLeft();
    // The run that was moved to a server is there already.
    const bool serves = server.takesWork() || !m_memoryFrom.empty();
    return serves && !m_callerGone && !m_givenUp;
}

bool RequestRelay::timeIsUp() const
{
    return m_state.clock.steadyNow() >= m_until;
}

bool RequestRelay::mayTryAgain(AttemptEnd last)
{
    if (last == AttemptEnd::Final || last == AttemptEnd::TimedOut || m_callerGone || m_givenUp
        || timeIsUp())
        return false;
    // The rest of a body that is passed on as it comes is nowhere but in its own run.
    if (m_answer.state() == CallerAnswer::State::SpillingBody)
        return false;
    if (m_sends >= m_route->attemptLimit + MostRejections)
        return false;
    if (m_state.crashes.blocked(m_fingerprint, m_state.clock.steadyNow()))
        return false;
    if (m_maybeRan && (!m_route->mayRepeat() || m_runs >= m_route->attemptLimit))
        return false;
    return m_state.retries.repeat(m_demand.service->name, m_state.clock.steadyNow());
}

Task<void> RequestRelay::serve()
{
    m_state.retries.first(m_demand.service->name, m_received);
    AttemptEnd last = AttemptEnd::NotRun;
    do {
        const auto placed = m_state.placement.choose(m_demand, m_state.clock.steadyNow());
        if (!placed)
            break;
        last = co_await attempt(*placed);
        while (last == AttemptEnd::Moved)
            last = co_await attempt(takeMove());
        co_await awaitFate();
    } while (mayTryAgain(last));
    if (last == AttemptEnd::Final || m_answer.ended())
        co_return;
    co_await finishUnserved(last);
}

void RequestRelay::noteBreak(const serving::ServerStatePtr &server)
{
    if (m_callerGone || m_givenUp)
        return;
    const SteadyTime now = m_state.clock.steadyNow();
    m_state.servers.lost(*server, now);
    // A server that had notice was taken away; no request is to blame for that.
    if (server->info.leaving)
        return;
    m_brokeAt = server->key;
    if (m_state.crashes.broke(m_fingerprint, server->key, now))
        boost::asio::co_spawn(m_state.io, lookForEnd(m_state, server), boost::asio::detached);
}

Task<void> RequestRelay::awaitFate()
{
    const SteadyTime until = m_state.clock.steadyNow() + FateWait;
    while (m_state.crashes.inDoubt(m_brokeAt) && m_state.clock.steadyNow() < until)
        co_await wire::sleepFor(FateTick);
    // Failure: copies of a request that ends its server meet at the same one, at several instances;
    // one of them runs there, the others find nobody listening and go on to one server more each.
    // So one that has broken a server already and is refused by the next hears its peers first.
    if (m_turnedAway && m_state.crashes.hasEndedServer(m_fingerprint))
        co_await wire::sleepFor(ReportWait);
}

Task<void> RequestRelay::finishUnserved(AttemptEnd last)
{
    if (!m_maybeRan && m_customer != nullptr)
        m_state.quotas.giveBack(m_customer->name, quotaUnits());
    if (m_callerGone) {
        noteCallerLeft();
        co_return;
    }
    if (m_answer.begun()) {
        breakOff("stream-broken");
        co_return;
    }
    if (m_failure) {
        ++m_state.counters.failed;
        co_await answer(std::move(*m_failure), "server-failed");
        co_return;
    }
    if (!m_maybeRan) {
        ++m_state.counters.refused;
        if (m_givenUp)
            co_await answer(refusal(503, RetryAfterShutdown), "shutting-down");
        else
            co_await answer(refusal(503, RetryAfterNoServer), "no-server");
        co_return;
    }
    ++m_state.counters.failed;
    const bool late = last == AttemptEnd::TimedOut;
    const bool blocked = m_state.crashes.blocked(m_fingerprint, m_state.clock.steadyNow());
    const char *reason = late ? "timeout"
        : m_givenUp           ? "shutting-down"
        : blocked             ? "ends-servers"
                              : "answer-lost";
    co_await answer(ownAnswer(late ? 504 : 502), reason);
}

BackendCall::Request RequestRelay::serverRequest(const serving::ServerState &server) const
{
    const CallerLink::Request &from = m_caller->request();
    BackendCall::Request request;
    request.method_string(from.method_string());
    request.target(from.target());
    request.version(11);
    platform::ServerCall call;
    call.expectedServer = server.info.id;
    if (m_customer != nullptr)
        call.customer = m_customer->name;
    const auto left = m_callerUntil - m_state.clock.steadyNow();
    call.deadline = std::max(std::chrono::duration_cast<milliseconds>(left), milliseconds(1));
    if (m_demand.prompt) {
        const int priority = m_customer != nullptr && m_customer->priority ? *m_customer->priority
                                                                           : m_route->priority;
        call.priority = std::clamp(priority, 0, LowestPriority);
    }
    call.resumeAfter = m_lastEvent;
    call.memoryFrom = m_memoryFrom;
    platform::writeServerHeader(from, call, request);
    request.body() = from.body();
    request.prepare_payload();
    return request;
}

Task<RequestRelay::AttemptEnd> RequestRelay::attempt(serving::Placed placed)
{
    const serving::ServerStatePtr server = placed.server;
    m_demand.tried.insert(server->key);
    ++m_sends;
    m_turnedAway = false;
    ++m_state.counters.attempts;
    const double held = m_demand.prompt ? m_demand.prompt->promptTokens : 0;
    LoadClaim load(server, placed.unreadTokens, held);
    m_load = &load;
    m_sentAt = m_state.clock.steadyNow();
    m_firstByteAt.reset();
    m_unread = placed.unreadTokens;
    m_tokensAhead = placed.tokensAhead;
    if (m_unread > 0)
        m_state.demand.promptSent(m_demand.service->name, m_unread);
    m_state.placement.sent(m_demand, server->key, m_state.clock.steadyNow());
    m_call = std::make_shared<BackendCall>(m_state.io, m_state.backends, m_state.clock, server->key,
                                           server->info.address);
    const auto call = m_call;
    BackendCall::Request request = serverRequest(*server);
    watchForStall(server);
    watchForReclaim(server);
    const CallStart start =
        co_await call->start(std::move(request), m_header.attemptId, ConnectTimeout, m_until,
                             [this, &server] { return maySend(*server); });
    if (start == CallStart::Answered && !m_route->isStream())
        stopStallWatch();
    AttemptEnd end = AttemptEnd::Failed;
    if (start == CallStart::Answered) {
        server->heardAt = m_state.clock.steadyNow();
        end = co_await takeAnswer(server);
    } else if (start == CallStart::Unwanted) {
        end = AttemptEnd::NotRun;
    } else if (start == CallStart::Unreachable) {
        m_state.servers.lost(*server, m_state.clock.steadyNow());
        m_turnedAway = call->turnedAway();
        if (call->refused())
            m_state.crashes.refused(server->key, m_state.clock.steadyNow());
        end = AttemptEnd::NotRun;
    } else {
        m_maybeRan = true;
        ++m_runs;
        if (start == CallStart::Lost)
            noteBreak(server);
        end = start == CallStart::TimedOut ? AttemptEnd::TimedOut : AttemptEnd::Failed;
    }
    stopStallWatch();
    stopReclaimWatch();
    m_memoryFrom.clear();
    m_load = nullptr;
    m_call.reset();
    if (!m_demand.prompt && start != CallStart::Unwanted)
        m_state.demand.callEnded(m_demand.service->name, m_state.clock.steadyNow() - m_sentAt,
                                 server->info.slots);
    const auto firstByte = m_firstByteAt ? *m_firstByteAt - m_sentAt : SteadyTime::duration::zero();
    logEvent(events::GatewayAttemptEnded,
             { { "attempt", m_header.attemptId },
               { "server", server->info.id },
               { "unread_tokens", wholeText(placed.unreadTokens) },
               { "tokens_ahead", wholeText(placed.tokensAhead) },
               { "in_flight", std::to_string(placed.inFlight) },
               { "first_byte_ms", std::to_string(inMillis(firstByte)) },
               { "start", std::to_string(static_cast<int>(start)) },
               { "end", std::to_string(static_cast<int>(end)) } });
    co_return end;
}

Task<RequestRelay::AttemptEnd> RequestRelay::takeAnswer(const serving::ServerStatePtr &server)
{
    const unsigned status = m_call->head().result_int();
    const auto said = platform::readServerAnswer(status, m_call->head());
    if (said.wrongServer)
        serving::ServerTable::replaced(*server);
    if (said.notRun) {
        // Its rest is read so that the connection can be used again.
        const BodyRead rest = co_await m_call->readBody(m_until);
        if (rest.kind == BodyRead::Kind::Bytes)
            co_await m_call->readBody(m_until);
        co_return AttemptEnd::NotRun;
    }
    m_maybeRan = true;
    ++m_runs;
    if (!m_answer.canGoOnWith(m_call->head()))
        co_return co_await dropAnswer(*server);
    if (status < FirstNoSuccess && m_route->isStream() && said.mayBeEvents)
        co_return co_await relayStream(server);
    co_return co_await relayWhole(server);
}

void RequestRelay::firstByteCame()
{
    stopStallWatch();
    if (!m_firstByteAt)
        m_firstByteAt = m_state.clock.steadyNow();
    if (m_load != nullptr) {
        m_load->promptRead();
        noteLatency();
        notePromptRead();
        m_load = nullptr;
    }
    if (m_counted || m_customer == nullptr || !m_state.trueTime.known())
        return;
    m_counted = true;
    m_state.usage.began(m_customer->name, m_state.trueTime.at(m_state.clock.steadyNow()));
}

void RequestRelay::watchForStall(const serving::ServerStatePtr &server)
{
    if (!m_route->mayRepeat() || m_runs + 1 >= m_route->attemptLimit || m_answer.begun())
        return;
    const double rate = m_state.demand.readRate(m_demand.service->name);
    std::chrono::duration<double> predicted { 0 };
    if (rate > 0)
        predicted = std::chrono::duration<double>((m_tokensAhead + m_unread) / rate);
    m_stallTicket = m_state.attempts.add({ m_call, server, m_sentAt, predicted });
}

void RequestRelay::stopStallWatch()
{
    if (m_stallTicket)
        m_state.attempts.remove(*std::exchange(m_stallTicket, std::nullopt));
}

void RequestRelay::notePromptRead()
{
    // Only what found no prompt before it measures how fast the engine reads.
    if (m_unread <= 0 || m_tokensAhead > 0)
        return;
    m_state.demand.sawPromptRead(m_demand.service->name, m_unread,
                                 m_state.clock.steadyNow() - m_sentAt);
}

void RequestRelay::noteLatency()
{
    if (m_answer.begun() || m_route->targetLatency.count() <= 0)
        return;
    const SteadyTime now = m_state.clock.steadyNow();
    const std::chrono::duration<double> waited = now - m_received;
    const std::chrono::duration<double> target = m_route->targetLatency;
    m_state.latency.firstByte(m_demand.service->name, waited / target, now);
    m_state.metrics.firstByte(m_demand.service->name, now - m_received);
}

void RequestRelay::noteCallerLeft()
{
    ++m_state.counters.callersGone;
    logEnd(0, "caller-left");
}

void RequestRelay::callerLeft()
{
    m_callerGone = true;
    if (m_call != nullptr)
        m_call->abort();
}

void RequestRelay::breakOff(const char *reason)
{
    ++m_state.counters.failed;
    m_keepAlive = false;
    m_answer.breakOff();
    logEnd(0, reason);
}

} // namespace snipestall::gateway
