#include "snipestall/gateway/request_relay.hpp"

#include "forward_header.hpp"
#include "load_guard.hpp"
#include "platform/server_header.hpp"
#include "relay_text.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/gateway/notice_recorder.hpp"
#include "snipestall/gateway/server_probe.hpp"
#include "snipestall/wire/answer_body.hpp"
#include "snipestall/wire/signal.hpp"
#include "snipestall/wire/spawn.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace snipestall::gateway {

using std::chrono::milliseconds;
using wire::Task;

namespace {

/// A server of the same region accepts a connection within a few round trips. The kernel repeats a
/// lost opening packet after one second.
constexpr milliseconds ConnectTimeout { 400 };
/// A server that has ended refuses a connection within a few round trips. A server behind a
/// partition does not, and the caller waits for the repeat meanwhile.
constexpr milliseconds CrashEvidenceWait { 50 };
constexpr milliseconds CrashEvidenceTick { 2 };
/// Two intervals of the exchange, within which the observations of other instances reach this one.
constexpr milliseconds PeerReportWait { 400 };
constexpr unsigned FirstNonSuccessStatus = 300;

/// What the time to the first byte of an attempt grows with: for generations, the prompt tokens
/// that are read before it, with those that take as long as the engine's fixed delays.
double expectedWork(const serving::PlacementRequest &request, const serving::ServerChoice &placed)
{
    constexpr double FixedTokens = 2000;
    return request.prompt ? FixedTokens + placed.unreadTokens + placed.tokensAhead : 1;
}

/// The parts of a prompt that other requests may have as well; a limited number.
std::string partsText(const std::optional<serving::Prompt> &prompt)
{
    constexpr std::size_t MaxShown = 16;
    std::ostringstream text;
    const std::size_t shared = prompt && !prompt->parts.empty() ? prompt->parts.size() - 1 : 0;
    for (std::size_t i = 0; i < std::min(shared, MaxShown); ++i)
        text << (i == 0 ? "" : ",") << std::hex << prompt->parts[i].id;
    return text.str();
}

} // namespace

RequestRelay::RequestRelay(GatewayState &state, std::shared_ptr<CallerConnection> caller,
                           RequestOrigin origin)
    : m_state(state)
    , m_caller(std::move(caller))
    , m_origin(origin)
    , m_answer(*m_caller)
    , m_received(state.clock.steadyNow())
    , m_versions(state)
{
    ++m_state.requestsInFlight;
    ++m_state.counters.requests;
}

RequestRelay::~RequestRelay()
{
    --m_state.requestsInFlight;
    m_caller->stopWatching();
    stopStallWatch();
    stopReclaimWatch();
    returnRepeat();
}

void RequestRelay::cancel()
{
    m_cancelled = true;
    if (m_call != nullptr)
        m_call->abort();
}

Task<bool> RequestRelay::run()
{
    m_header = platform::readCallerHeader(m_caller->request());
    m_keepAlive = m_caller->request().keep_alive();
    m_caller->watchForDisconnect([this] { handleCallerLeft(); });
    co_await awaitStart();
    m_callerGone |= m_caller->hasDisconnected();
    if (m_callerGone) {
        recordCallerLeft();
    } else if (co_await admit()) {
        co_await serve();
        if (m_maybeRan && !m_callerGone && !m_cancelled)
            m_state.durations.ended(m_route->name, m_placementRequest.service->name, m_received,
                                    m_state.clock.steadyNow());
    }
    co_return m_keepAlive && !m_callerGone;
}

bool RequestRelay::maySend(const serving::ServerState &server)
{
    m_callerGone |= m_caller->hasDisconnected();
    const SteadyTime now = m_state.clock.steadyNow();
    // A run that was moved to a server is already there.
    const bool serves = !m_kvCacheSource.empty()
        || (server.takesWork() && !server.rests(now)
            && m_state.rollouts.maySend(server.info.service, server.info.version, now));
    return serves && !m_callerGone && !m_cancelled;
}

bool RequestRelay::deadlinePassed() const
{
    return m_state.clock.steadyNow() >= m_deadline;
}

bool RequestRelay::canFinish() const
{
    if (!m_state.shutdown)
        return true;
    const SteadyTime now = m_state.clock.steadyNow();
    const auto limit = std::chrono::duration_cast<milliseconds>(m_deadline - now);
    const milliseconds expected =
        m_state.durations.expected(m_route->name, m_placementRequest.service->name, limit, now);
    if (m_state.shutdown->canFinish(now, expected, m_state.loopLag.last()))
        return true;
    logEvent(events::ShutdownTooShort,
             { { "attempt", m_header.attemptId },
               { "route", m_route->name },
               { "expected_ms", std::to_string(expected.count()) },
               { "limit_ms", std::to_string(limit.count()) },
               { "sends", std::to_string(m_budget.used().sends) },
               { "after_ms", std::to_string(toMillis(now - m_state.shutdown->signalled())) } });
    return false;
}

void RequestRelay::recordRunning() const
{
    if (m_route != nullptr && m_placementRequest.service != nullptr)
        m_state.durations.running(m_route->name, m_placementRequest.service->name, m_received,
                                  m_state.clock.steadyNow());
}

bool RequestRelay::mayRetry(AttemptEnd last)
{
    if (last == AttemptEnd::Final || last == AttemptEnd::TimedOut || m_callerGone || m_cancelled
        || deadlinePassed())
        return false;
    // The rest of a body that is passed on as it arrives can only come from its own run.
    if (m_answer.state() == CallerAnswer::State::ForwardingBody || !m_answer.mayChangeServer())
        return false;
    if (m_budget.sendsLeft() == 0)
        return false;
    if (m_state.crashes.isBlocked(m_fingerprint, m_state.clock.steadyNow()) || partBlocked())
        return false;
    if (m_maybeRan && (!m_route->mayRepeat() || m_budget.runsLeft() == 0))
        return false;
    // A request that did not reach the other instance has reached no server either.
    return m_forwardUnsent || m_replacement || takeRepeat();
}

Task<void> RequestRelay::serve()
{
    if (!wasForwarded())
        m_state.retries.countFirstAttempt(m_placementRequest.service->name, m_received);
    AttemptEnd last = AttemptEnd::NotRun;
    do {
        if (m_replacement) {
            last = co_await attemptReplacement();
            continue;
        }
        // Elsewhere, a request that has not run is served at once.
        m_processEnds = !m_maybeRan && !canFinish();
        if (m_processEnds)
            break;
        m_serverMissing = m_answer.origin() && !setOrigin(*m_answer.origin());
        if (m_serverMissing)
            break;
        if (const auto target = forwardTarget()) {
            last = co_await forward(*target);
            continue;
        }
        m_forwardUnsent = false;
        updatePlacement(m_placementRequest);
        const auto placed = m_state.placement.choose(m_placementRequest, m_state.clock.steadyNow());
        if (!placed) {
            const auto holder = shareHolder();
            m_serverMissing = !holder;
            if (!holder)
                break;
            last = co_await forward(*holder);
            continue;
        }
        m_overload = overloadAt(*placed);
        if (m_overload)
            break;
        last = co_await attemptAt(*placed);
    } while (mayRetry(last));
    returnRepeat();
    if (last == AttemptEnd::Final || m_answer.ended())
        co_return;
    co_await finishUnserved(last);
}

Task<RequestRelay::AttemptEnd> RequestRelay::attemptAt(serving::ServerChoice placed)
{
    AttemptEnd last = co_await attempt(std::move(placed));
    while (last == AttemptEnd::Moved) {
        co_await awaitTargetOfMove();
        serving::ServerChoice target = finishMove();
        last = co_await attempt(std::move(target));
    }
    co_await awaitCrashEvidence();
    if (last != AttemptEnd::Final)
        co_await awaitPartVerdict();
    co_return last;
}

void RequestRelay::updatePlacement(serving::PlacementRequest &request)
{
    const SteadyTime now = m_state.clock.steadyNow();
    request.versions = m_state.rollouts.choose(request.service->name, m_route->name,
                                               m_budget.used().sends == 0, m_state.random, now);
    if (m_state.commonTime.known())
        request.time = m_state.commonTime.at(now);
    request.unseenWork = m_state.unseenWork(*request.service);
}

std::optional<serving::OverloadRefusal>
RequestRelay::overloadAt(const serving::ServerChoice &placed) const
{
    // A request that may have run can't be refused, and the rest of a stream has its place already.
    if (!m_state.settings.refuseLate || m_maybeRan || m_answer.begun() || m_answer.origin()
        || wasForwarded())
        return std::nullopt;
    const bool overShare = m_customer != nullptr && m_state.shares.isOver(m_customer->name);
    return serving::refusedByLoad({ placed.earliest, placed.hasFreeSlot, m_route->targetLatency,
                                    m_route->timeout, overShare, m_placementRequest.band,
                                    placed.leastUse },
                                  m_state.random.uniform());
}

void RequestRelay::handleConnectionLoss(const serving::ServerStatePtr &server)
{
    // An attempt that this instance ended itself says nothing of its server.
    if (m_callerGone || m_cancelled || m_replacement)
        return;
    m_answerLost = true;
    if (m_atInstance)
        return;
    const SteadyTime now = m_state.clock.steadyNow();
    recordLoss(*server);
    // A server with a notice was reclaimed, so no request caused its end.
    if (server->info.leaving)
        return;
    m_lastLostServer = server->key;
    if (m_state.crashes.connectionBroke(m_fingerprint, server->key, now, suspectParts()))
        wire::spawn(m_state.io, probeServerEnd(m_state, server), "server-probe");
}

void RequestRelay::recordLoss(serving::ServerState &server)
{
    ++m_state.counters.serverLosses;
    m_state.servers.lost(server, m_state.clock.steadyNow());
}

Task<void> RequestRelay::awaitCrashEvidence()
{
    const SteadyTime until = m_state.clock.steadyNow() + CrashEvidenceWait;
    while (m_state.crashes.isBeingChecked(m_lastLostServer) && m_state.clock.steadyNow() < until)
        co_await wire::sleepFor(CrashEvidenceTick);
    // Failure: copies of a request that ends its server reach the same server through several
    // instances. One copy runs there; the others find its port closed and go on to another server
    // each. So a request that has already ended a server, and is rejected by the next one, first
    // waits for the reports of the peers.
    if (m_connectionRejected && m_state.crashes.hasCrashedServer(m_fingerprint))
        co_await wire::sleepFor(PeerReportWait);
}

BackendCall::Request RequestRelay::serverRequest(const serving::ServerState &server) const
{
    const CallerConnection::Request &from = m_caller->request();
    BackendCall::Request request;
    request.method_string(from.method_string());
    request.target(from.target());
    request.version(11);
    platform::ServerCall call;
    call.expectedServer = server.info.id;
    if (m_customer != nullptr)
        call.customer = m_customer->name;
    const auto left = m_callerDeadline - m_state.clock.steadyNow();
    call.deadline = std::max(std::chrono::duration_cast<milliseconds>(left), milliseconds(1));
    if (m_placementRequest.prompt) {
        const int rank = m_catalogue->engineRanks().rank(m_customer, *m_route);
        // The rest of a stream goes before new requests of its kind.
        const int ahead = m_answer.origin() ? 1 : 0;
        call.priority = std::max(rank - ahead, serving::EngineRanks::MostUrgent);
    }
    call.resumeAfter = m_answer.lastEvent();
    call.kvCacheSource = m_kvCacheSource;
    if (m_copyFrom)
        call.kvCacheCopy = m_copyFrom->toString();
    platform::writeServerHeader(from, call, request);
    eraseForwardFields(request);
    request.body() = from.body();
    request.prepare_payload();
    return request;
}

Task<RequestRelay::AttemptEnd> RequestRelay::attempt(serving::ServerChoice placed)
{
    const serving::ServerStatePtr server = placed.server;
    m_placementRequest.tried.insert(server->key);
    m_budget.sent();
    // A run that was moved was counted when its server was chosen.
    if (m_kvCacheSource.empty()) {
        m_state.limits.requestSent(*server, m_state.clock.steadyNow());
        serving::ServerTable::requestSent(*server, m_state.clock.steadyNow());
    }
    m_connectionRejected = false;
    m_answerLost = false;
    ++m_state.counters.attempts;
    const double held = m_placementRequest.prompt ? m_placementRequest.prompt->promptTokens : 0;
    LoadGuard load(server, { placed.unreadTokens, held, m_placementRequest.band });
    m_loadGuard = &load;
    m_sentAt = m_state.clock.steadyNow();
    m_firstByteAt.reset();
    m_promptRead = false;
    m_unreadTokens = placed.unreadTokens;
    m_tokensAhead = placed.tokensAhead;
    m_timesOwnDuration = placed.timesOwnDuration;
    m_predicted = placed.firstEvent;
    m_copyFrom = placed.copyFrom;
    if (m_unreadTokens > 0)
        recordPromptSent();
    m_state.placement.requestSent(m_placementRequest, server->key, m_state.clock.steadyNow());
    m_call = std::make_shared<BackendCall>(m_state.io, m_state.backends, m_state.clock, server->key,
                                           server->info.address);
    const auto call = m_call;
    call->setHeadObserver(
        [&state = m_state, server, attempt = m_header.attemptId](const BackendCall::Head &head) {
            recordNotice(state, *server, attempt, head);
        });
    BackendCall::Request request = serverRequest(*server);
    m_versions.attemptBegins(*server, expectedWork(m_placementRequest, placed));
    watchForStall(server);
    watchForReclaim(server);
    const CallStart start =
        co_await call->start(std::move(request), m_header.attemptId, ConnectTimeout, m_deadline,
                             [this, &server] { return maySend(*server); });
    // A repeat that was taken for the replacement of this attempt is not used by this one.
    if (!m_replacement)
        useRepeat(*call);
    if (start == CallStart::Answered && !m_route->isStream())
        stopStallWatch();
    AttemptEnd end = AttemptEnd::Failed;
    const unsigned status = start == CallStart::Answered ? call->head().result_int() : 0;
    recordReach(start, *server);
    if (start == CallStart::Answered) {
        serving::ServerTable::heard(*server, m_state.clock.steadyNow());
        end = co_await handleAnswer(server);
    } else if (start == CallStart::Unwanted) {
        end = AttemptEnd::NotRun;
    } else if (start == CallStart::Unreachable) {
        if (!m_replacement)
            recordLoss(*server);
        m_connectionRejected = call->connectionRejected();
        if (call->refused())
            m_state.crashes.connectionRefused(server->key, m_state.clock.steadyNow());
        end = AttemptEnd::NotRun;
    } else {
        m_maybeRan = true;
        m_budget.ran();
        if (start == CallStart::Lost)
            handleConnectionLoss(server);
        end = start == CallStart::TimedOut ? AttemptEnd::TimedOut : AttemptEnd::Failed;
    }
    m_versions.attemptEnded(outcomeOf(start, end), *server);
    stopStallWatch();
    stopReclaimWatch();
    m_kvCacheSource.clear();
    m_loadGuard = nullptr;
    m_call.reset();
    if (!m_placementRequest.prompt && start != CallStart::Unwanted)
        m_state.demand.callEnded(m_placementRequest.service->name,
                                 m_state.clock.steadyNow() - m_sentAt, server->info.slots);
    else if (m_promptRead)
        recordSlotTime(*server);
    const auto firstByte = m_firstByteAt ? *m_firstByteAt - m_sentAt : SteadyTime::duration::zero();
    logEvent(events::GatewayAttemptEnded,
             { { "attempt", m_header.attemptId },
               { "server", server->info.id },
               { "software", server->info.version },
               { "unread_tokens", integerText(placed.unreadTokens) },
               { "tokens_ahead", integerText(placed.tokensAhead) },
               { "in_flight", std::to_string(placed.inFlight) },
               { "forwarded", wasForwarded() ? "yes" : "no" },
               { "runs", std::to_string(m_budget.used().runs) },
               { "sends", std::to_string(m_budget.used().sends) },
               { "copied_from", m_copyFrom ? m_copyFrom->toString() : std::string() },
               { "predicted_ms", predictedText() },
               { "first_byte_ms", std::to_string(toMillis(firstByte)) },
               { "parts", end == AttemptEnd::Final ? std::string() : partsText(m_header.prompt) },
               { "start", std::to_string(static_cast<int>(start)) },
               { "status", std::to_string(status) },
               { "end", std::to_string(static_cast<int>(end)) } });
    co_return end;
}

std::string RequestRelay::predictedText() const
{
    if (!m_predicted)
        return {};
    return std::to_string(
        toMillis(std::chrono::duration_cast<SteadyTime::duration>(m_predicted->total)));
}

void RequestRelay::recordReach(CallStart start, const serving::ServerState &server)
{
    // Whether a path that was cut is back is found out by ReachProber.
    if (start == CallStart::Unwanted || m_callerGone || m_cancelled || m_replacement
        || m_state.reach.cutOff())
        return;
    if (start == CallStart::Answered)
        m_state.reach.reached();
    else
        m_state.reach.failed(server.key, m_state.clock.steadyNow());
}

VersionRecorder::Outcome RequestRelay::outcomeOf(CallStart start, AttemptEnd end) const
{
    using Outcome = VersionRecorder::Outcome;
    const bool stopped = m_move != nullptr && m_move->mayHaveStopped();
    if (m_callerGone || m_cancelled || m_replacement || end == AttemptEnd::NotRun
        || end == AttemptEnd::Moved || (stopped && end == AttemptEnd::Failed))
        return Outcome::Unknown;
    if (m_answerLost || start == CallStart::Lost)
        return Outcome::Lost;
    return end == AttemptEnd::Final ? Outcome::Answered : Outcome::Failed;
}

Task<RequestRelay::AttemptEnd> RequestRelay::handleAnswer(const serving::ServerStatePtr &server)
{
    const unsigned status = m_call->head().result_int();
    const auto parsed = platform::readServerResponse(status, m_call->head());
    if (parsed.wrongServer)
        serving::ServerTable::markReplaced(*server);
    if (parsed.notRun) {
        stopStallWatch();
        co_await readRejection();
        co_return AttemptEnd::NotRun;
    }
    m_maybeRan = true;
    m_budget.ran();
    serving::ServerTable::requestAccepted(*server, m_sentAt);
    if (!m_answer.canContinueWith(m_call->head()))
        co_return co_await dropAnswer(*server);
    if (platform::promisesNotRun(status))
        co_return co_await withholdPromise(*server);
    const serving::StreamOrigin origin { server->info.service, server->info.version };
    if (mayStream(status) && parsed.mayBeEventStream)
        co_return co_await relayStream(server, origin);
    co_return co_await relayWhole(server);
}

bool RequestRelay::mayStream(unsigned status) const
{
    return status < FirstNonSuccessStatus && m_route->isStream()
        && wire::hasBody(m_caller->request().method(), status);
}

void RequestRelay::handleFirstByte()
{
    stopStallWatch();
    if (!m_firstByteAt)
        m_firstByteAt = m_state.clock.steadyNow();
    if (m_loadGuard != nullptr) {
        m_loadGuard->promptRead();
        recordLatency();
        recordPromptRead();
        m_versions.firstByte(m_state.clock.steadyNow() - m_sentAt);
        m_loadGuard = nullptr;
    }
    // An instance that serves a forwarded request counts its start.
    if (m_usageCounted || m_atInstance || m_customer == nullptr || !m_state.commonTime.known())
        return;
    m_usageCounted = true;
    m_state.usage.requestStarted(m_customer->name,
                                 m_state.commonTime.at(m_state.clock.steadyNow()));
}

void RequestRelay::recordSlotTime(const serving::ServerState &server)
{
    const std::string &service = m_placementRequest.service->name;
    const auto running = m_state.clock.steadyNow() - *m_firstByteAt;
    m_state.demand.streamEnded(service, running, m_unreadTokens, server.info.slots);
    m_state.firstEvents.streamEnded(service, running);
}

void RequestRelay::recordPromptSent()
{
    const std::string &service = m_placementRequest.service->name;
    m_state.demand.promptSent(service, m_unreadTokens);
    const double cachedTokens = m_placementRequest.prompt->promptTokens - m_unreadTokens;
    m_state.unseen.promptSent(service, m_unreadTokens, cachedTokens, m_state.clock.steadyNow());
}

void RequestRelay::recordPromptRead()
{
    const std::string &service = m_placementRequest.service->name;
    const auto took = m_state.clock.steadyNow() - m_sentAt;
    // An engine that fails at once has neither read the prompt nor taken a slot for it.
    m_promptRead = m_call->head().result_int() < FirstNonSuccessStatus;
    if (!m_promptRead)
        return;
    if (m_predicted) {
        m_state.firstEvents.observed(service, *m_predicted, took);
        m_state.metrics.recordPrediction(service, took / m_predicted->total);
    }
    // The read rate of the engine can be measured only if no other prompt was ahead.
    if (m_unreadTokens <= 0 || m_tokensAhead > 0)
        return;
    m_state.demand.promptRead(service, m_unreadTokens, took);
    m_state.firstEvents.promptReadAlone(service, took);
    m_state.firstEvents.setReadRate(service, m_state.demand.readRate(service));
}

void RequestRelay::recordLatency()
{
    if (m_answer.begun() || m_route->targetLatency.count() <= 0)
        return;
    const SteadyTime now = m_state.clock.steadyNow();
    const std::chrono::duration<double> waited = now - m_received;
    const std::chrono::duration<double> target = m_route->targetLatency;
    m_state.latency.firstByte(m_placementRequest.service->name, waited / target, now);
    m_state.metrics.recordFirstByte(m_placementRequest.service->name, now - m_received);
}

void RequestRelay::handleCallerLeft()
{
    m_callerGone = true;
    if (m_call != nullptr)
        m_call->abort();
}

} // namespace snipestall::gateway
