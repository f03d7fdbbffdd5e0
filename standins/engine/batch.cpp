#include "engine/batch.hpp"

#include "engine/prefix_cache.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace snipestall::standins {

namespace asio = boost::asio;

namespace {

std::chrono::nanoseconds scaled(std::chrono::nanoseconds time, double factor)
{
    const std::chrono::duration<double, std::nano> exact(static_cast<double>(time.count())
                                                         * factor);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(exact);
}

} // namespace

Batch::Batch(asio::io_context &io, const EngineOptions &options, PrefixCache &cache)
    : m_options(options)
    , m_cache(cache)
    , m_wake(io, SteadyTime::max())
{ }

bool Batch::hasRoom() const
{
    return m_running.size() < m_options.slots || m_queue.size() < m_options.queue;
}

void Batch::add(const AttemptPtr &attempt)
{
    const auto lessUrgent = [&attempt](const AttemptPtr &other) {
        return other->priority < attempt->priority;
    };
    m_queue.insert(std::find_if(m_queue.begin(), m_queue.end(), lessUrgent), attempt);
    fillSlots(std::chrono::steady_clock::now());
    notifyChanged();
    m_wake.cancel();
}

void Batch::remove(const AttemptPtr &attempt)
{
    std::erase(m_running, attempt);
    std::erase(m_queue, attempt);
    fillSlots(std::chrono::steady_clock::now());
    notifyChanged();
}

void Batch::fillSlots(SteadyTime now)
{
    while (m_running.size() < m_options.slots && !m_queue.empty()) {
        const AttemptPtr attempt = m_queue.front();
        m_queue.erase(m_queue.begin());
        prefill(*attempt, now);
        m_running.push_back(attempt);
    }
}

void Batch::prefill(Attempt &attempt, SteadyTime now)
{
    const std::int64_t contextTokens = attempt.promptTokens + attempt.from;
    attempt.cachedTokens = m_cache.cachedTokens(attempt.prompt);
    const std::int64_t reusableTokens = std::max(attempt.cachedTokens, attempt.kvTokens);
    attempt.prefilledTokens = std::max<std::int64_t>(contextTokens - reusableTokens, 0);
    const auto work = m_options.prefillPerToken * attempt.prefilledTokens;
    m_prefillBusyUntil = std::max(m_prefillBusyUntil, now) + scaled(work, m_slowFactor);
    attempt.prefillDone = m_prefillBusyUntil;
    m_cache.insert(now, attempt.prompt);
}

std::chrono::nanoseconds Batch::stepTime() const
{
    const double others = static_cast<double>(m_running.size()) - 1;
    return scaled(m_options.tokenTime, m_slowFactor * (1 + m_options.batchSlope * others));
}

SteadyTime Batch::nextStep(SteadyTime now) const
{
    SteadyTime firstReady = SteadyTime::max();
    for (const auto &attempt : m_running)
        firstReady = std::min(firstReady, attempt->prefillDone);
    const SteadyTime start = std::max(firstReady, m_lastStep);
    // An overdue step runs now; steps that were missed are skipped.
    return std::max(start + stepTime(), now);
}

wire::Task<void> Batch::run()
{
    while (true) {
        const SteadyTime now = std::chrono::steady_clock::now();
        const SteadyTime due = m_running.empty() ? SteadyTime::max() : nextStep(now);
        m_wake.expires_at(due);
        co_await m_wake.async_wait(asio::as_tuple(asio::use_awaitable));
        // A new attempt wakes the loop early, because it may be the first one in the batch.
        const SteadyTime woken = std::chrono::steady_clock::now();
        if (woken >= due)
            step(due);
    }
}

void Batch::step(SteadyTime now)
{
    m_lastStep = now;
    if (m_stalled)
        return;
    const std::vector<AttemptPtr> batch = m_running;
    for (const auto &attempt : batch) {
        if (attempt->prefillDone > now || attempt->ended != AttemptState::Running)
            continue;
        if (m_onToken)
            m_onToken(*attempt);
        ++attempt->produced;
        attempt->wake.cancel();
        if (attempt->produced >= attempt->tokensToProduce())
            remove(attempt);
    }
}

void Batch::notifyChanged()
{
    if (m_onChange)
        m_onChange();
}

} // namespace snipestall::standins
