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

/// One piece of work in ten, so that a single long prompt ejects nobody.
constexpr double SpeedGain = 0.1;
constexpr double FailureGain = 0.2;

/// Pieces of work before a server can be judged.
constexpr std::uint32_t TellingSamples = 10;
constexpr std::uint32_t TellingResults = 5;

/// Full and idle servers of one kind differ by less than two; three times the median is broken.
constexpr double EjectSlowness = 3.0;
constexpr double ReadmitSlowness = 2.0;

/// A server that fails most attempts while the middle of its pool fails few. When all fail alike,
/// the cause is in the requests or behind the pool, and ejecting helps nobody.
constexpr double EjectFailures = 0.5;
constexpr double UsualFailures = 0.25;

/// A third of a pool at most: judged wrongly, or in a fault of all, the rest must carry the load.
constexpr std::size_t LargestPart = 3;

/// Comparing costs the size of the pool, so it is done by time, not by event.
constexpr Duration ReviewInterval = std::chrono::seconds(1);
/// Sooner after a failure: a server that fails at once can spoil many requests in a second.
constexpr Duration ReviewAfterFailure = std::chrono::milliseconds(100);

/// Silence after which a server with work counts as stalled. Engines pause for a second or two
/// when they collect or swap memory.
constexpr Duration StallTime = std::chrono::seconds(5);

constexpr Duration FirstProbeWait = std::chrono::seconds(5);
constexpr Duration LongestProbeWait = std::chrono::seconds(60);

/// A pool without work fit for a probe lets the server back in after this time; if it is still
/// bad, it is found out again.
constexpr Duration LongestProbation = std::chrono::seconds(30);

/// The lower one of two middles: in a pool of which half is slow the other half sets the norm.
double medianOf(std::vector<double> values)
{
    if (values.empty())
        return 0;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

struct PoolNorm
{
    /// Seconds for one piece of work.
    double pace = 0;
    double failureRate = 0;
    std::size_t ejected = 0;
    std::size_t servers = 0;
};

struct Samples
{
    std::vector<double> paces;
    std::vector<double> failureRates;
};

void addServers(const Pool &pool, PoolNorm &norm, Samples &samples)
{
    for (const auto &[handle, server] : pool.servers) {
        norm.ejected += server->standing == Standing::Healthy ? 0 : 1;
        if (server->speedSamples >= TellingSamples)
            samples.paces.push_back(server->workSeconds);
        samples.failureRates.push_back(server->failureRate);
    }
    norm.servers += pool.servers.size();
}

/// Load: a pool spread over many owners, with one or two servers each. None of them could compare,
/// and a third of two is none; peers' figures make the whole pool the measure.
void addPeers(const State &state, const Pool &pool, PoolNorm &norm, Samples &samples)
{
    for (const PoolSummary *summary : state.peers.fresh(state.now, pool.service)) {
        norm.ejected += summary->ejected;
        norm.servers += summary->servers + summary->ejected;
        const double pace = std::chrono::duration<double>(summary->tokenTime).count();
        if (pace > 0)
            samples.paces.insert(samples.paces.end(), summary->servers, pace);
        const double failureRate = summary->failureRate;
        samples.failureRates.insert(samples.failureRates.end(), summary->servers, failureRate);
    }
}

PoolNorm normOf(const State &state, const Pool &pool)
{
    PoolNorm norm;
    Samples samples;
    addServers(pool, norm, samples);
    addPeers(state, pool, norm, samples);
    norm.pace = medianOf(std::move(samples.paces));
    norm.failureRate = medianOf(std::move(samples.failureRates));
    return norm;
}

bool isSlow(const Server &server, const PoolNorm &norm, double bound)
{
    if (server.speedSamples < TellingSamples || norm.pace <= 0)
        return false;
    return server.workSeconds > bound * norm.pace;
}

/// Failure: a server freezes with its connections open. It shows as nothing at all, so no sample
/// ever counts against it, while its slots look free to whoever ends.
bool isStalled(const State &state, const Server &server)
{
    return server.running() > 0 && server.progressDue < state.now;
}

bool isFailing(const Server &server, const PoolNorm &norm)
{
    const bool failing = server.results >= TellingResults && server.failureRate > EjectFailures;
    return failing && norm.failureRate < UsualFailures;
}

void forgetObservations(Server &server)
{
    server.speedSamples = 0;
    server.workSeconds = 0;
    server.results = 0;
    server.failureRate = 0;
}

void reindex(State &state, Server &server)
{
    server.pool->index.update(server);
    state.touch(*server.pool);
}

void eject(State &state, Server &server)
{
    server.standing = Standing::Ejected;
    server.pool->probing.erase(server.handle);
    server.probeWait = std::clamp(server.probeWait * 2, FirstProbeWait, LongestProbeWait);
    server.probeAt = state.now + state.jittered(server.probeWait);
    reindex(state, server);
}

/// What a stalled server holds goes on elsewhere, if it may be run twice and the budget allows.
void takeOff(State &state, Server &server)
{
    const std::set<std::uint64_t> held = server.requests;
    for (const std::uint64_t handle : held) {
        Request &request = *state.findRequest({ handle });
        if (!request.idempotent || !request.pool->retryBudget.spend(state.now))
            continue;
        state.emit(CancelAttempt { request.handle, request.attempt });
        withdraw(state, request);
        estimate(request);
        enqueue(state, request);
    }
}

void probe(State &state, Server &server)
{
    server.standing = Standing::Probing;
    server.pool->probing.insert(server.handle);
    forgetObservations(server);
    reindex(state, server);
}

void readmit(State &state, Server &server)
{
    server.standing = Standing::Healthy;
    server.pool->probing.erase(server.handle);
    server.probeWait = Duration::zero();
    // Its limit fell while it was slow; from a half it climbs back within seconds.
    server.limit = std::max(server.limit, (server.slots + 1) / 2);
    reindex(state, server);
}

void judgeProbe(State &state, Server &server, const PoolNorm &norm)
{
    if (isStalled(state, server)) {
        eject(state, server);
        takeOff(state, server);
        return;
    }
    const bool known = server.speedSamples >= TellingSamples || server.results >= TellingResults;
    const bool untried = state.now - server.probeAt >= LongestProbation;
    if (!known && !untried)
        return;
    if (isFailing(server, norm) || isSlow(server, norm, ReadmitSlowness))
        eject(state, server);
    else
        readmit(state, server);
}

void reviewServer(State &state, Server &server, PoolNorm &norm)
{
    if (server.standing == Standing::Ejected && server.probeAt <= state.now)
        probe(state, server);
    else if (server.standing == Standing::Probing)
        judgeProbe(state, server, norm);
    if (server.standing != Standing::Healthy)
        return;
    const std::size_t most = norm.servers / LargestPart;
    const bool stalled = isStalled(state, server);
    const bool bad = isFailing(server, norm) || isSlow(server, norm, EjectSlowness);
    if (norm.ejected >= most || (!bad && !stalled))
        return;
    ++norm.ejected;
    eject(state, server);
    if (stalled)
        takeOff(state, server);
}

void reviewSoon(State &state, Duration wait)
{
    state.nextReview = std::min(state.nextReview, state.now + wait);
}

} // namespace

void observeSpeed(Server &server, Duration taken)
{
    const double seconds = std::chrono::duration<double>(taken).count();
    // The first samples count as their mean, so that a server is not judged by its very first.
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
    ++server.results;
    server.failureRate -= FailureGain * server.failureRate;
}

// Failure: a server answers every request at once with an error. It shows as the least loaded of
// its pool, and work flows to it faster the faster it fails. Its slot stays taken for as long as
// a good attempt would have lasted, so it never gets more work than a working server.
void observeFailure(State &state, const Request &request)
{
    Server &server = *request.server;
    ++server.results;
    server.failureRate += FailureGain * (1.0 - server.failureRate);
    ++server.penalties;
    const Time until = std::max(state.now, request.dispatchedAt + request.service);
    state.penalties.add(until, server.handle);
    reindex(state, server);
    reviewSoon(state, ReviewAfterFailure);
}

// A probe may be slow or fail: it is made with work that nobody waits for and that may be repeated.
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
    PoolNorm norm;
    Samples samples;
    addServers(pool, norm, samples);
    const std::chrono::duration<double> pace(medianOf(std::move(samples.paces)));
    summary.tokenTime = std::chrono::duration_cast<Duration>(pace);
    summary.failureRate = medianOf(std::move(samples.failureRates));
    summary.ejected = static_cast<std::uint32_t>(norm.ejected);
    // A server on probation is counted as ejected, not as one that takes work.
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
        // Reserves fall with time alone; without this, work queued in a pool where nothing else
        // happens would wait for the next event.
        const bool quiet = state.now - pool.now >= ReviewInterval;
        if (quiet && !pool.queue.empty())
            state.touch(pool);
        PoolNorm norm = normOf(state, pool);
        for (const auto &[handle, server] : pool.servers)
            reviewServer(state, *server, norm);
    }
}

} // namespace snipestall::policy
