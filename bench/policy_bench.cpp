// What one decision costs the policy: processor time for an event, and memory for a queued request
// and for a backend server. Every slot is taken and the queue stays as long as it is: in each
// round a request ends, the next one takes its slot, and a new one arrives.

#include "snipestall/policy/world.hpp"
#include "snipestall/settings/effective_settings.hpp"

#include <benchmark/benchmark.h>

#include <chrono>
#include <deque>
#include <malloc.h>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace {

using namespace snipestall;
using namespace snipestall::policy;
using namespace std::chrono_literals;

constexpr std::uint32_t SlotsPerServer = 8;
constexpr int Customers = 5;
constexpr int EventsPerRound = 3;

std::shared_ptr<settings::EffectiveSettings> makeSettings()
{
    auto made = std::make_shared<settings::EffectiveSettings>();
    made->dataCentre = "samsun-hall";
    made->services.emplace_back().service = "airtime";
    for (int i = 0; i < Customers; ++i) {
        settings::LeafSettings &leaf = made->leaves.emplace_back();
        leaf.customer = "customer-" + std::to_string(i);
        leaf.service = "airtime";
        leaf.requestsPerSecond = 1e9;
        leaf.tokensPerSecond = 1e12;
        leaf.concurrency = 1000000;
    }
    return made;
}

/// Drives a World with full servers and a queue of constant length.
class Rig
{
public:
    Rig(std::int64_t servers, std::int64_t queued)
    {
        step(SettingsChanged { makeSettings() });
        for (std::int64_t i = 1; i <= servers; ++i)
            step(ServerUp { { static_cast<std::uint64_t>(i) },
                            "airtime",
                            "samsun-hall",
                            "spot",
                            SlotsPerServer,
                            {} });
        for (std::int64_t i = 0; i < servers * SlotsPerServer + queued; ++i)
            arrive();
    }

    void round()
    {
        const Dispatch oldest = m_running.front();
        m_running.pop_front();
        m_now += 100us;
        step(TokensProduced { oldest.request, oldest.attempt, 100 });
        step(AttemptEnded { oldest.request, oldest.attempt, AttemptResult::Completed, {} });
        arrive();
    }

private:
    void arrive()
    {
        RequestArrived event;
        event.request = { ++m_lastRequest };
        event.customer = "customer-" + std::to_string(m_lastRequest % Customers);
        event.service = "airtime";
        event.urgency = static_cast<Urgency>(m_lastRequest % 3);
        // Or it would be refused, and the queue be shorter than asked for.
        event.accepted = true;
        event.promptTokens = 1000;
        event.maxTokens = 100;
        event.deadline = m_now + 24h;
        event.prefix = { m_lastRequest % 64, 1000 + m_lastRequest % 64, m_lastRequest * 977 };
        step(std::move(event));
    }

    void step(Event event)
    {
        m_commands.clear();
        const Event events[] = { std::move(event) };
        m_world->step(m_now, events, m_commands);
        for (const Command &command : m_commands) {
            if (const auto *dispatch = std::get_if<Dispatch>(&command))
                m_running.push_back(*dispatch);
        }
    }

    std::unique_ptr<World> m_world = World::create("samsun-hall", 1);
    Time m_now { 1000s };
    std::deque<Dispatch> m_running;
    std::vector<Command> m_commands;
    std::uint64_t m_lastRequest = 0;
};

void BM_Event(benchmark::State &state)
{
    Rig rig(state.range(0), state.range(1));
    for (auto _ : state)
        rig.round();
    const auto events = static_cast<double>(state.iterations() * EventsPerRound);
    state.counters["time_per_event"] =
        benchmark::Counter(events, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(BM_Event)
    ->ArgNames({ "servers", "queued" })
    ->Args({ 20, 100 })
    ->Args({ 20, 1000 })
    ->Args({ 20, 10000 })
    ->Args({ 100, 10000 })
    ->Args({ 600, 10000 });

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

double heapOf(std::int64_t servers, std::int64_t queued)
{
    const double before = heapBytes();
    const Rig rig(servers, queued);
    return heapBytes() - before;
}

void BM_Memory(benchmark::State &state)
{
    constexpr std::int64_t Servers = 20;
    constexpr std::int64_t Queued = 10000;
    for (auto _ : state) {
        const double small = heapOf(Servers, 0);
        state.counters["bytes_per_queued"] = (heapOf(Servers, Queued) - small) / Queued;
        // With the requests that run on it and the prefixes that they left there.
        state.counters["bytes_per_server"] = (heapOf(2 * Servers, 0) - small) / Servers;
    }
}
BENCHMARK(BM_Memory)->Iterations(1);

} // namespace

BENCHMARK_MAIN();
