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

void append(harness::Ledger &all, harness::Ledger one)
{
    std::ranges::move(one.calls, std::back_inserter(all.calls));
    all.doubled += one.doubled;
    all.cost += one.cost;
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double Measurement::share(const std::string &urgency) const
{
    const auto found = classes.find(urgency);
    return found == classes.end() ? 1.0 : found->second.share();
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
    Measurement made;
    made.deployment = deployment.name;
    made.condition = condition.name;
    made.contestant = contestant.name;
    made.classes = ledger.byUrgency(condition.window);
    made.fairness = harness::fairness(ledger.byCustomer(condition.window, deployment.modelService),
                                      deployment.customers);
    std::uint64_t inTarget = 0;
    for (const auto &[name, tally] : made.classes) {
        inTarget += name == "plain" ? 0 : tally.outputInTarget;
    }
    const double length = seconds(condition.window.to - condition.window.from);
    made.goodput = static_cast<double>(inTarget) / (length * static_cast<double>(seeds.size()));
    const double costPerSecond =
        ledger.cost / (seconds(condition.scenario.duration) * static_cast<double>(seeds.size()));
    made.costPerHour = costPerSecond * SecondsPerHour;
    made.costPerMillionInTarget = made.goodput > 0 ? costPerSecond / made.goodput * Million : 0;
    made.lostTokens = ledger.lostTokens(condition.window.from);
    made.missedTokens = ledger.missedTokens(condition.window.from);
    made.lostCalls = ledger.lost();
    made.doubled = ledger.doubled;
    return made;
}

} // namespace snipestall::policy::experiment
