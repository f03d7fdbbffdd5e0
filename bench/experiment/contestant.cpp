#include "bench/experiment/contestant.hpp"

#include "bench/baselines/baseline.hpp"
#include "bench/baselines/least_reported_load.hpp"
#include "bench/baselines/prefix_hash.hpp"
#include "bench/baselines/round_robin.hpp"

#include "snipestall/policy/world.hpp"

namespace snipestall::policy::experiment {

namespace {

template<typename Choice>
Contestant baseline(std::string name)
{
    Contestant made { std::move(name), {} };
    made.options.visibility = harness::Visibility::Everyone;
    made.options.factory = [](const std::string &, std::uint64_t) {
        return baselines::Baseline::create(std::make_unique<Choice>());
    };
    return made;
}

Contestant world()
{
    Contestant made { "snipestall", {} };
    made.options.factory = [](const std::string &dataCentre, std::uint64_t seed) {
        return World::create(dataCentre, seed);
    };
    return made;
}

} // namespace

std::vector<Contestant> contestants()
{
    return { world(), baseline<baselines::RoundRobin>("round robin"),
             baseline<baselines::LeastReportedLoad>("least reported load"),
             baseline<baselines::PrefixHash>("prefix hash") };
}

std::vector<Contestant> capacityContestants()
{
    auto fixed = world();
    fixed.name = "fixed fleet";
    auto buying = world();
    buying.name = "buying and releasing";
    buying.options.policyBuysCapacity = true;
    return { fixed, buying };
}

} // namespace snipestall::policy::experiment
