#include "bench/experiment/contestant.hpp"

#include "bench/baselines/baseline.hpp"
#include "bench/baselines/least_reported_load.hpp"
#include "bench/baselines/prefix_hash.hpp"
#include "bench/baselines/round_robin.hpp"

#include "snipestall/policy/world.hpp"

namespace snipestall::policy::experiment {

namespace {

template<typename Choice>
Contestant makeBaseline(std::string name)
{
    Contestant contestant { std::move(name), {} };
    contestant.options.eventRecipients = harness::EventRecipients::AllInstances;
    contestant.options.factory = [](const std::string &, std::uint64_t) {
        return baselines::Baseline::create(std::make_unique<Choice>());
    };
    return contestant;
}

Contestant makeWorld()
{
    Contestant contestant { "snipestall", {} };
    contestant.options.factory = [](const std::string &dataCentre, std::uint64_t seed) {
        return World::create(dataCentre, seed);
    };
    return contestant;
}

} // namespace

std::vector<Contestant> contestants()
{
    return { makeWorld(), makeBaseline<baselines::RoundRobin>("round robin"),
             makeBaseline<baselines::LeastReportedLoad>("least reported load"),
             makeBaseline<baselines::PrefixHash>("prefix hash") };
}

std::vector<Contestant> capacityContestants()
{
    auto fixed = makeWorld();
    fixed.name = "fixed fleet";
    auto managed = makeWorld();
    managed.name = "buying and releasing";
    managed.options.policyManagesCapacity = true;
    return { fixed, managed };
}

} // namespace snipestall::policy::experiment
