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

/// Continuous batching: each step gives every prefilled stream of the batch one token; the more
/// streams, the longer the step. Prefills run one after another.
class Batch
{
public:
    Batch(boost::asio::io_context &io, const EngineOptions &options, PrefixCache &cache);

    [[nodiscard]] bool hasRoom() const;
    void add(const AttemptPtr &attempt);
    /// Takes an ended attempt out of slots and queue.
    void remove(const AttemptPtr &attempt);
    [[nodiscard]] std::size_t running() const { return m_running.size(); }
    [[nodiscard]] std::size_t queued() const { return m_queue.size(); }
    void setSlowFactor(double factor) { m_slowFactor = factor; }
    /// No stream gets a token while this holds.
    void setStalled(bool stalled) { m_stalled = stalled; }
    /// Called for each token before it can be written.
    void onToken(std::function<void(const Attempt &)> callback) { m_onToken = std::move(callback); }
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

    /// Steps for as long as the loop runs.
    wire::Task<void> run();

private:
    void fillSlots(SteadyTime now);
    void prefill(Attempt &attempt, SteadyTime now);
    [[nodiscard]] SteadyTime nextStep(SteadyTime now) const;
    [[nodiscard]] std::chrono::nanoseconds stepTime() const;
    void step(SteadyTime now);
    void changed();

    const EngineOptions &m_options;
    PrefixCache &m_cache;
    std::vector<AttemptPtr> m_running;
    std::vector<AttemptPtr> m_queue;
    SteadyTime m_prefillFree {};
    SteadyTime m_lastStep {};
    double m_slowFactor = 1;
    bool m_stalled = false;
    std::function<void(const Attempt &)> m_onToken;
    std::function<void()> m_onChange;
    boost::asio::steady_timer m_wake;
};

} // namespace snipestall::standins
