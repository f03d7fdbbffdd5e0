// Measures the time that one instance needs to parse and check a new version of the settings, to
// compute the effective settings of its data centre, and to edit and compare versions. The argument
// is the number of customers; the tree has 10 data centres and 6 services.

#include "snipestall/settings/effective_settings.hpp"
#include "snipestall/settings/sha256.hpp"
#include "snipestall/settings/tree.hpp"
#include "snipestall/settings/tree_edits.hpp"

#include <benchmark/benchmark.h>

#include <sstream>

namespace {

using namespace snipestall;

constexpr int DataCentres = 10;
constexpr int Services = 6;

std::string makeDocument(std::int64_t customers)
{
    std::ostringstream yaml;
    yaml << "fleet: {weight: 1, latency: {first_token: 1200ms, inter_token: 35ms}}\n"
         << "operators: {ayla: {key_hashes: [" << settings::sha256Hex("ayla") << "]}}\n"
         << "classes: {spot: {price_per_hour: 0.3}, steady: {reclaimable: false}}\n"
         << "data_centres:\n";
    for (int i = 0; i < DataCentres; ++i)
        yaml << "  hall-" << i << ": {share: 0.1, classes: {spot: {}, steady: {}}}\n";
    yaml << "services:\n";
    for (int i = 0; i < Services; ++i)
        yaml << "  service-" << i << ": {models: [model-" << i << "]}\n";
    yaml << "customers:\n";
    for (std::int64_t i = 0; i < customers; ++i) {
        const std::string name = "customer-" + std::to_string(i);
        yaml << "  " << name << ":\n    key_hashes: [" << settings::sha256Hex(name) << "]\n"
             << "    weight: 2\n    limits: {concurrency: 50, requests_per_second: 20}\n"
             << "    services: {service-0: {}, service-1: {latency: {first_token: 2s}}, "
             << "service-" << 2 + i % 4 << ": {}}\n";
    }
    return yaml.str();
}

void BM_Parse(benchmark::State &state)
{
    const std::string yaml = makeDocument(state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(settings::Tree::parse(yaml));
    state.counters["bytes"] = static_cast<double>(yaml.size());
}

/// Parses the canonical form, in which a version is stored and sent.
void BM_ParseCanonical(benchmark::State &state)
{
    const std::string yaml =
        settings::Tree::parse(makeDocument(state.range(0))).value().toCanonicalYaml();
    for (auto _ : state)
        benchmark::DoNotOptimize(settings::Tree::parse(yaml));
    state.counters["bytes"] = static_cast<double>(yaml.size());
}

void BM_Effective(benchmark::State &state)
{
    const auto tree = settings::Tree::parse(makeDocument(state.range(0))).value();
    for (auto _ : state)
        benchmark::DoNotOptimize(tree.effective("hall-3", 1));
}

void BM_EditAndCompare(benchmark::State &state)
{
    const auto tree = settings::Tree::parse(makeDocument(state.range(0))).value();
    const std::vector<settings::Edit> edits { { "customers/customer-0/weight", "3" } };
    for (auto _ : state) {
        const auto edited = settings::withEdits(tree, edits);
        benchmark::DoNotOptimize(settings::differences(tree, *edited));
    }
}

BENCHMARK(BM_Parse)->Arg(5)->Arg(50)->Arg(500)->Arg(2000)->Unit(benchmark::kMillisecond);
BENCHMARK(BM_ParseCanonical)->Arg(5)->Arg(50)->Arg(500)->Arg(2000)->Unit(benchmark::kMillisecond);
BENCHMARK(BM_Effective)->Arg(5)->Arg(50)->Arg(500)->Arg(2000)->Unit(benchmark::kMillisecond);
BENCHMARK(BM_EditAndCompare)->Arg(5)->Arg(500)->Arg(2000)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
