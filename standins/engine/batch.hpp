#pragma once

#include "engine/attempt.hpp"
#include "engine/engine_options.hpp"

#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <vector>

namespace snipestall::standins {

class PrefixCache;

/// Simulates continuous batching: each step produces one token for every prefilled stream of the
/// batch, and a step takes longer with more streams. Prefills run one after another.
class Batch
{
public:
    Batch(boost::asio::io_context &io, const EngineOptions &options, PrefixCache &cache);

    [[nodiscard]] bool hasRoom() const;
    void add(const AttemptPtr &attempt);
    /// Removes an ended attempt from its slot or the queue.
    void remove(const AttemptPtr &attempt);
    [[nodiscard]] std::size_t running() const { return m_running.size(); }
    [[nodiscard]] std::size_t queued() const { return m_queue.size(); }
    void setSlowFactor(double factor) { m_slowFactor = factor; }
    /// While stalled, no stream produces a token.
    void setStalled(bool stalled) { m_stalled = stalled; }
    /// Sets the callback that runs for each token before the token can be written.
    void onToken(std::function<void(const Attempt &)> callback) { m_onToken = std::move(callback); }
    /// Sets the callback that runs when the number of running or queued attempts may have changed.
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

    /// Runs decoding steps for as long as the event loop runs.
    wire::Task<void> run();

private:
    void fillSlots(SteadyTime now);
    void prefill(Attempt &attempt, SteadyTime now);
    [[nodiscard]] SteadyTime nextStep(SteadyTime now) const;
    [[nodiscard]] std::chrono::nanoseconds stepTime() const;
    void step(SteadyTime now);
    void notifyChanged();

    const EngineOptions &m_options;
    PrefixCache &m_cache;
    std::vector<AttemptPtr> m_running;
    std::vector<AttemptPtr> m_queue;
    SteadyTime m_prefillBusyUntil {};
    SteadyTime m_lastStep {};
    double m_slowFactor = 1;
    bool m_stalled = false;
    std::function<void(const Attempt &)> m_onToken;
    std::function<void()> m_onChange;
    boost::asio::steady_timer m_wake;
};

} // namespace snipestall::standins
