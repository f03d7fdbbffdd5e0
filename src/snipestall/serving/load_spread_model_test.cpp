#include "snipestall/base/random.hpp"
#include "snipestall/serving/load_spread.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <vector>

namespace snipestall::serving {
namespace {

constexpr std::size_t Slots = 16;
constexpr std::size_t QueuePlaces = 33;
constexpr std::array<double, 3> Slowness { 0.7, 0.7, 1.7 };
constexpr int RunningMillis = 1600;
constexpr int TickMillis = 20;
constexpr double Utilization = 0.8;

struct Engine
{
    double slowness = 1;
    /// When the running prompts end, in milliseconds.
    std::vector<double> running;
    std::size_t queued = 0;
    /// Requests in flight by instance, and the instances of all of them, oldest first.
    std::vector<std::size_t> from;
    std::deque<std::size_t> owners;
};

struct Outcome
{
    std::size_t longestQueue = 0;
    double rejected = 0;
};

class Model
{
public:
    Model(std::size_t instances, bool spreads)
        : m_spreads(spreads)
        , m_engines(instances * 3 / 2)
        , m_random(instances)
    {
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            m_engines[i].slowness = Slowness.at(i % Slowness.size());
            m_engines[i].from.resize(instances);
            m_perMilli += Utilization * Slots / (RunningMillis * m_engines[i].slowness);
        }
        m_reported.assign(MaxAgeTicks + 1, std::vector<std::size_t>(m_engines.size()));
    }

    Outcome run()
    {
        double sent = 0;
        double rejected = 0;
        Outcome outcome;
        for (int tick = 0; tick < 500; ++tick) {
            m_now += TickMillis;
            for (Engine &engine : m_engines)
                endStreams(engine);
            m_reported.pop_front();
            auto &newest = m_reported.emplace_back();
            for (const Engine &engine : m_engines)
                newest.push_back(engine.owners.size());
            m_due += m_perMilli * TickMillis;
            for (; m_due >= 1; --m_due, ++sent) {
                const std::size_t instance = m_random.below(m_engines[0].from.size());
                Engine &engine = m_engines[choose(instance)];
                if (engine.queued >= QueuePlaces) {
                    ++rejected;
                    continue;
                }
                ++engine.from[instance];
                engine.owners.push_back(instance);
                ++engine.queued;
                fillSlots(engine);
                outcome.longestQueue = std::max(outcome.longestQueue, engine.queued);
            }
        }
        outcome.rejected = rejected / sent;
        return outcome;
    }

private:
    static constexpr std::size_t MaxAgeTicks = 400 / TickMillis;
    static constexpr std::size_t MinAgeTicks = 200 / TickMillis;

    void fillSlots(Engine &engine)
    {
        for (; engine.queued > 0 && engine.running.size() < Slots; --engine.queued)
            engine.running.push_back(m_now + m_random.exponential(RunningMillis * engine.slowness));
    }

    void endStreams(Engine &engine)
    {
        const std::size_t ended =
            std::erase_if(engine.running, [this](double end) { return end <= m_now; });
        for (std::size_t i = 0; i < ended; ++i) {
            --engine.from[engine.owners.front()];
            engine.owners.pop_front();
        }
        fillSlots(engine);
    }

    std::size_t choose(std::size_t instance)
    {
        const std::size_t age = MinAgeTicks + m_random.below(MaxAgeTicks - MinAgeTicks + 1);
        const auto &report = m_reported[MaxAgeTicks - age];
        std::vector<SpreadCandidate> candidates;
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            const Engine &engine = m_engines[i];
            // The instance knows its own requests at once.
            const std::size_t inFlight = std::max(report[i], engine.from[instance]);
            candidates.push_back(
                { engine.slowness * static_cast<double>(inFlight), engine.slowness });
        }
        const double unseen = m_spreads ? m_perMilli * TickMillis * static_cast<double>(age) : 0;
        return LoadSpread(std::move(candidates), unseen).choose(m_random.uniform());
    }

    bool m_spreads;
    std::vector<Engine> m_engines;
    Random m_random;
    std::deque<std::vector<std::size_t>> m_reported;
    double m_perMilli = 0;
    double m_due = 0;
    double m_now = 0;
};

using LoadSpreadModel = testing::TestWithParam<std::size_t>;

// Guards against a herd: prompts of all instances go to the engines that looked idle in the last
// reports, whose queues fill until they reject, while other engines have free slots.
TEST_P(LoadSpreadModel, QueuesAreShortThoughReportsAreOld)
{
    const Outcome herd = Model(GetParam(), false).run();
    const Outcome spread = Model(GetParam(), true).run();
    EXPECT_LE(spread.longestQueue, herd.longestQueue / 2);
    EXPECT_LE(spread.rejected, herd.rejected / 20);
    // At few engines even a herd does not fill a queue.
    EXPECT_TRUE(GetParam() == 9 || herd.rejected > 0.1);
}

INSTANTIATE_TEST_SUITE_P(Fleets, LoadSpreadModel, testing::Values(9, 60, 300));

} // namespace
} // namespace snipestall::serving
