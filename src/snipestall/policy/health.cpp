#include "snipestall/policy/health.hpp"

#include "snipestall/policy/lifecycle.hpp"
#include "snipestall/policy/state.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace snipestall::policy {
namespace {

/// Weight of one sample: one in ten, so that a single long prompt ejects no server.
constexpr double SpeedGain = 0.1;
constexpr double FailureGain = 0.2;

/// Samples needed before a server can be evaluated.
constexpr std::uint32_t MinSpeedSamples = 10;
constexpr std::uint32_t MinResults = 5;

/// Full and idle servers of one kind differ by a factor of less than two; a server at three times
/// the median is broken.
constexpr double EjectSlowdown = 3.0;
constexpr double ReadmitSlowdown = 2.0;

/// A server is failing when most of its attempts fail while the median server of its pool fails
/// few. When all servers fail alike, the cause lies in the requests or behind the pool, and
/// ejecting servers does not help.
constexpr double EjectFailureRate = 0.5;
constexpr double MaxNormalFailureRate = 0.25;

/// At most a third of a pool is ejected, because the rest must carry the load if servers are
/// ejected wrongly or a fault affects all of them.
constexpr std::size_t MaxEjectedDivisor = 3;

/// A comparison costs time in proportion to the size of the pool, so it runs at intervals instead
/// of on each event.
constexpr Duration ReviewInterval = std::chrono::seconds(1);
/// The interval is shorter after a failure, because a server that fails at once can spoil many
/// requests in a second.
constexpr Duration ReviewAfterFailure = std::chrono::milliseconds(100);

/// Time without progress after which a server with work counts as stalled. Engines pause for a
/// second or two when they collect garbage or swap memory.
constexpr Duration StallTime = std::chrono::seconds(5);

constexpr Duration InitialProbeWait = std::chrono::seconds(5);
constexpr Duration MaxProbeWait = std::chrono::seconds(60);

/// A pool without work that is suitable for a probe readmits the server after this time; if the
/// server is still unhealthy, it is detected again.
constexpr Duration MaxProbation = std::chrono::seconds(30);

/// Returns the lower of the two middle values of an even number, so that in a pool of which half is
/// slow the other half is the reference.
double medianOf(std::vector<double> values)
{
    if (values.empty())
        return 0;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

struct PoolStatistics
{
    /// Median time in seconds for one output token or one plain call.
    double workSeconds = 0;
    double failureRate = 0;
    std::size_t ejected = 0;
    std::size_t servers = 0;
};

struct Samples
{
    std::vector<double> workSeconds;
    std::vector<double> failureRates;
};

void addServerSamples(const Pool &pool, PoolStatistics &statistics, Samples &samples)
{
    for (const auto &[handle, server] : pool.servers) {
        statistics.ejected += server->healthState == HealthState::Healthy ? 0 : 1;
        if (server->speedSamples >= MinSpeedSamples)
            samples.workSeconds.push_back(server->workSeconds);
        samples.failureRates.push_back(server->failureRate);
    }
    statistics.servers += pool.servers.size();
}

/// Covers a pool that is spread over many owners with one or two servers each. No owner could
/// compare its servers, and a third of two is none; with the figures of the peers the whole pool is
/// the reference.
void addPeerSamples(const State &state, const Pool &pool, PoolStatistics &statistics,
                    Samples &samples)
{
    for (const PoolSummary *summary : state.peers.freshSummaries(state.now, pool.service)) {
        statistics.ejected += summary->ejected;
        statistics.servers += summary->servers + summary->ejected;
        const double seconds = std::chrono::duration<double>(summary->tokenTime).count();
        if (seconds > 0)
            samples.workSeconds.insert(samples.workSeconds.end(), summary->servers, seconds);
        const double failureRate = summary->failureRate;
        samples.failureRates.insert(samples.failureRates.end(), summary->servers, failureRate);
    }
}

PoolStatistics statisticsOf(const State &state, const Pool &pool)
{
    PoolStatistics statistics;
    Samples samples;
    addServerSamples(pool, statistics, samples);
    addPeerSamples(state, pool, statistics, samples);
    statistics.workSeconds = medianOf(std::move(samples.workSeconds));
    statistics.failureRate = medianOf(std::move(samples.failureRates));
    return statistics;
}

bool isSlow(const Server &server, const PoolStatistics &statistics, double bound)
{
    if (server.speedSamples < MinSpeedSamples || statistics.workSeconds <= 0)
        return false;
    return server.workSeconds > bound * statistics.workSeconds;
}

/// Detects a server that freezes with its connections open. It reports nothing, so no sample ever
/// counts against it, while each slot that becomes free there looks usable.
bool isStalled(const State &state, const Server &server)
{
    return server.running() > 0 && server.progressDue < state.now;
}

bool isFailing(const Server &server, const PoolStatistics &statistics)
{
    const bool failing =
        server.resultSamples >= MinResults && server.failureRate > EjectFailureRate;
    return failing && statistics.failureRate < MaxNormalFailureRate;
}

void resetObservations(Server &server)
{
    server.speedSamples = 0;
    server.workSeconds = 0;
    server.resultSamples = 0;
    server.failureRate = 0;
}

void reindex(State &state, Server &server)
{
    server.pool->index.update(server);
    state.markChanged(*server.pool);
}

void eject(State &state, Server &server)
{
    server.healthState = HealthState::Ejected;
    server.pool->probing.erase(server.handle);
    server.probeWait = std::clamp(server.probeWait * 2, InitialProbeWait, MaxProbeWait);
    server.probeAt = state.now + state.jittered(server.probeWait);
    reindex(state, server);
}

/// Queues the requests of a stalled server again if they may be run twice and the retry budget
/// allows it.
void requeueHeldRequests(State &state, Server &server)
{
    const std::set<std::uint64_t> held = server.requests;
    for (const std::uint64_t handle : held) {
        Request &request = *state.findRequest({ handle });
        if (!request.idempotent || !request.pool->retryBudget.spend(state.now))
            continue;
        state.emit(CancelAttempt { request.handle, request.attempt });
        leavePhase(state, request);
        estimate(request);
        enqueue(state, request);
    }
}

void startProbe(State &state, Server &server)
{
    server.healthState = HealthState::Probing;
    server.pool->probing.insert(server.handle);
    resetObservations(server);
    reindex(state, server);
}

void readmit(State &state, Server &server)
{
    server.healthState = HealthState::Healthy;
    server.pool->probing.erase(server.handle);
    server.probeWait = Duration::zero();
    // The limit fell while the server was slow; from a half it rises again within seconds.
    server.limit = std::max(server.limit, (server.slots + 1) / 2);
    reindex(state, server);
}

void evaluateProbe(State &state, Server &server, const PoolStatistics &statistics)
{
    if (isStalled(state, server)) {
        eject(state, server);
        requeueHeldRequests(state, server);
        return;
    }
    const bool known = server.speedSamples >= MinSpeedSamples || server.resultSamples >= MinResults;
    const bool expired = state.now - server.probeAt >= MaxProbation;
    if (!known && !expired)
        return;
    if (isFailing(server, statistics) || isSlow(server, statistics, ReadmitSlowdown))
        eject(state, server);
    else
        readmit(state, server);
}

void reviewServer(State &state, Server &server, PoolStatistics &statistics)
{
    if (server.healthState == HealthState::Ejected && server.probeAt <= state.now)
        startProbe(state, server);
    else if (server.healthState == HealthState::Probing)
        evaluateProbe(state, server, statistics);
    if (server.healthState != HealthState::Healthy)
        return;
    const std::size_t maxEjected = statistics.servers / MaxEjectedDivisor;
    const bool stalled = isStalled(state, server);
    const bool unhealthy =
        isFailing(server, statistics) || isSlow(server, statistics, EjectSlowdown);
    if (statistics.ejected >= maxEjected || (!unhealthy && !stalled))
        return;
    ++statistics.ejected;
    eject(state, server);
    if (stalled)
        requeueHeldRequests(state, server);
}

void scheduleReview(State &state, Duration wait)
{
    state.nextReview = std::min(state.nextReview, state.now + wait);
}

} // namespace

void observeSpeed(Server &server, Duration taken)
{
    const double seconds = std::chrono::duration<double>(taken).count();
    // The first samples are averaged with equal weights, so that a server is not evaluated by its
    // first sample alone.
    const double gain = std::max(SpeedGain, 1.0 / (server.speedSamples + 1));
    server.workSeconds += gain * (seconds - server.workSeconds);
    ++server.speedSamples;
}

void expectProgress(const State &state, Server &server, Duration within)
{
    server.progressDue = std::max(server.progressDue, state.now + StallTime + within);
}

void observeSuccess(const Request &request)
{
    Server &server = *request.server;
    ++server.resultSamples;
    server.failureRate -= FailureGain * server.failureRate;
}

// Guards against this failure: a server answers every request at once with an error. It looks like
// the least loaded server of its pool and gets more work the faster it fails. Its slot therefore
// stays occupied for as long as a successful attempt would have lasted, so that it never gets more
// work than a working server.
void observeFailure(State &state, const Request &request)
{
    Server &server = *request.server;
    ++server.resultSamples;
    server.failureRate += FailureGain * (1.0 - server.failureRate);
    ++server.penalties;
    const Time until = std::max(state.now, request.dispatchedAt + request.slotTime);
    state.penalties.add(until, server.handle);
    reindex(state, server);
    scheduleReview(state, ReviewAfterFailure);
}

// A probe may be slow or fail, so it uses a request that nobody is waiting for and that may be
// repeated.
Server *serverToProbe(State &state, const Request &request)
{
    if (request.urgency == Urgency::Urgent || !request.idempotent)
        return nullptr;
    for (const ServerHandle handle : request.pool->probing) {
        Server *server = state.findServer(handle);
        if (server && server->freeSlots() > 0)
            return server;
    }
    return nullptr;
}

void describeHealth(const Pool &pool, PoolSummary &summary)
{
    PoolStatistics statistics;
    Samples samples;
    addServerSamples(pool, statistics, samples);
    const std::chrono::duration<double> workTime(medianOf(std::move(samples.workSeconds)));
    summary.tokenTime = std::chrono::duration_cast<Duration>(workTime);
    summary.failureRate = medianOf(std::move(samples.failureRates));
    summary.ejected = static_cast<std::uint32_t>(statistics.ejected);
    // A server that is being probed counts as ejected, not as one that takes work.
    summary.servers -= std::min(summary.servers, static_cast<std::uint32_t>(pool.probing.size()));
}

void endPenalties(State &state)
{
    while (const auto handle = state.penalties.popDue(state.now)) {
        Server *server = state.findServer(*handle);
        if (!server || server->penalties == 0)
            continue;
        --server->penalties;
        reindex(state, *server);
    }
}

void reviewServers(State &state)
{
    if (state.now < state.nextReview)
        return;
    state.nextReview = state.now + ReviewInterval;
    for (auto &[service, pool] : state.pools) {
        pool.heat.decay();
        // Reserved slots decrease with time alone. Without this, work queued in a pool where
        // nothing else happens would wait for the next event.
        const bool quiet = state.now - pool.now >= ReviewInterval;
        if (quiet && !pool.queue.empty())
            state.markChanged(pool);
        PoolStatistics statistics = statisticsOf(state, pool);
        for (const auto &[handle, server] : pool.servers)
            reviewServer(state, *server, statistics);
    }
}

} // namespace snipestall::policy
