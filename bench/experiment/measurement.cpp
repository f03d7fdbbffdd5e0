#include "bench/experiment/measurement.hpp"

#include "policy/harness/fairness.hpp"

#include <algorithm>
#include <chrono>
#include <future>
#include <vector>

namespace snipestall::policy::experiment {

namespace {

constexpr double Million = 1e6;
constexpr double SecondsPerHour = 3600;

void append(harness::Ledger &total, harness::Ledger added)
{
    std::ranges::move(added.calls, std::back_inserter(total.calls));
    total.unsafeRetries += added.unsafeRetries;
    total.cost += added.cost;
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double Measurement::shareInTarget(const std::string &urgency) const
{
    const auto found = classes.find(urgency);
    return found == classes.end() ? 1.0 : found->second.shareInTarget();
}

Measurement measure(const harness::Deployment &deployment, const Condition &condition,
                    const Contestant &contestant, std::span<const std::uint64_t> seeds)
{
    harness::Ledger ledger;
    std::vector<std::future<harness::Ledger>> runs;
    for (const auto seed : seeds) {
        runs.push_back(std::async(std::launch::async, [&, seed] {
            auto scenario = condition.scenario;
            scenario.seed = seed;
            return harness::runScenario(scenario, deployment, contestant.options).ledger;
        }));
    }
    for (auto &run : runs) {
        append(ledger, run.get());
    }
    Measurement measurement;
    measurement.deployment = deployment.name;
    measurement.condition = condition.name;
    measurement.contestant = contestant.name;
    measurement.classes = ledger.byUrgency(condition.window);
    measurement.fairness = harness::fairness(
        ledger.byCustomer(condition.window, deployment.modelService), deployment.customers);
    std::uint64_t inTarget = 0;
    for (const auto &[name, tally] : measurement.classes) {
        inTarget += name == "plain" ? 0 : tally.outputInTarget;
    }
    const double length = seconds(condition.window.to - condition.window.from);
    measurement.goodput =
        static_cast<double>(inTarget) / (length * static_cast<double>(seeds.size()));
    const double costPerSecond =
        ledger.cost / (seconds(condition.scenario.duration) * static_cast<double>(seeds.size()));
    measurement.costPerHour = costPerSecond * SecondsPerHour;
    measurement.costPerMillionInTarget =
        measurement.goodput > 0 ? costPerSecond / measurement.goodput * Million : 0;
    measurement.lostTokens = ledger.lostTokens(condition.window.from);
    measurement.missedTokens = ledger.missedTokens(condition.window.from);
    measurement.lostCalls = ledger.lost();
    measurement.unsafeRetries = ledger.unsafeRetries;
    return measurement;
}

} // namespace snipestall::policy::experiment
