// Measures the processor time that the policy needs for an event, and its memory for a queued
// request and for a backend server. All slots are used and the length of the queue stays constant:
// in each round a request ends, a queued request takes its slot, and a new request arrives.

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
    auto effective = std::make_shared<settings::EffectiveSettings>();
    effective->dataCentre = "samsun-hall";
    effective->services.emplace_back().service = "airtime";
    for (int i = 0; i < Customers; ++i) {
        settings::LeafSettings &leaf = effective->leaves.emplace_back();
        leaf.customer = "customer-" + std::to_string(i);
        leaf.service = "airtime";
        leaf.requestsPerSecond = 1e9;
        leaf.tokensPerSecond = 1e12;
        leaf.concurrency = 1000000;
    }
    return effective;
}

/// Drives a World whose servers have no free slot and whose queue has a constant length.
class SaturatedWorld
{
public:
    SaturatedWorld(std::int64_t servers, std::int64_t queued)
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
            addRequest();
    }

    void runRound()
    {
        const Dispatch oldest = m_running.front();
        m_running.pop_front();
        m_now += 100us;
        step(TokensProduced { oldest.request, oldest.attempt, 100 });
        step(AttemptEnded { oldest.request, oldest.attempt, AttemptResult::Completed, {} });
        addRequest();
    }

private:
    void addRequest()
    {
        RequestArrived event;
        event.request = { ++m_lastRequest };
        event.customer = "customer-" + std::to_string(m_lastRequest % Customers);
        event.service = "airtime";
        event.urgency = static_cast<Urgency>(m_lastRequest % 3);
        // The limits of the policy could refuse a request that is not accepted yet, which would
        // make the queue shorter than the benchmark asks for.
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
    SaturatedWorld world(state.range(0), state.range(1));
    for (auto _ : state)
        world.runRound();
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

double usedHeapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

double heapBytesFor(std::int64_t servers, std::int64_t queued)
{
    const double before = usedHeapBytes();
    const SaturatedWorld world(servers, queued);
    return usedHeapBytes() - before;
}

void BM_Memory(benchmark::State &state)
{
    constexpr std::int64_t Servers = 20;
    constexpr std::int64_t Queued = 10000;
    for (auto _ : state) {
        const double withoutQueue = heapBytesFor(Servers, 0);
        state.counters["bytes_per_queued"] =
            (heapBytesFor(Servers, Queued) - withoutQueue) / Queued;
        // Includes the state of the requests that run on the server and of the prefixes that they
        // left in its cache.
        state.counters["bytes_per_server"] =
            (heapBytesFor(2 * Servers, 0) - withoutQueue) / Servers;
    }
}
BENCHMARK(BM_Memory)->Iterations(1);

} // namespace

BENCHMARK_MAIN();
