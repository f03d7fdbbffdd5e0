#include "bench/experiment/condition.hpp"

#include "policy/scenario/stage.hpp"

namespace snipestall::policy::experiment {

namespace {

using namespace std::chrono_literals;
using harness::Load;
using harness::RequestKind;
using harness::Stage;

constexpr Time LoadAt { 2s };
constexpr Time MeasureFrom { 12s };
constexpr Duration Length = 90s;
/// Late enough for caches to be filled: what a cold cache costs is no result of the fault.
constexpr Time FaultAt { 120s };
constexpr Duration FaultLength = 180s;
constexpr Duration Notice = 5s;
constexpr Duration StartsRefused = 60s;
constexpr double FaultLoad = 0.6;

Condition underFault(std::string name, std::string meaning, std::function<void(Stage &)> fault)
{
    auto made = steady(std::move(name), FaultLoad);
    made.meaning = std::move(meaning);
    made.scenario.steps.push_back({ FaultAt, std::move(fault) });
    made.scenario.duration = FaultLength;
    made.window = { FaultAt, Time { FaultLength } };
    return made;
}

Condition longAndShort()
{
    auto made = steady("long and short", 0);
    made.meaning = "85% load; 90:10 by count, 10:90 by tokens";
    Load load;
    load.level = 0.85;
    load.kinds = { { "lookup", Urgency::Urgent, 0, 40, 12, 10s, true, 90 },
                   { "review", Urgency::Patient, 0, 3200, 1000, 120s, true, 10 } };
    made.scenario.steps = { { LoadAt, [load](Stage &stage) { stage.setLoad(load); } } };
    return made;
}

} // namespace

const char *const FullLoad = "load 100%";
const char *const Overload = "load 150%";
const char *const Wave = "wave";

Condition steady(std::string name, double level)
{
    Condition made { std::move(name), "", {}, { MeasureFrom, Time { Length } } };
    made.scenario.duration = Length;
    Load load;
    load.level = level;
    made.scenario.steps = { { LoadAt, [load](Stage &stage) { stage.setLoad(load); } } };
    return made;
}

Condition risingLoad()
{
    constexpr double Low = 0.3;
    constexpr double High = 0.8;
    constexpr Time Rise { 10min };
    constexpr Time Fall { 20min };
    auto made = steady("rising load", Low);
    made.scenario.duration = 30min;
    made.window.to = Time { made.scenario.duration };
    const auto step = [&made](Time at, double level) {
        Load load;
        load.level = level;
        made.scenario.steps.push_back({ at, [load](Stage &stage) { stage.setLoad(load); } });
    };
    step(Rise, High);
    step(Fall, Low);
    return made;
}

std::vector<Condition> conditions()
{
    return {
        steady("load 70%", 0.7),
        steady(FullLoad, 1.0),
        steady(Overload, 1.5),
        longAndShort(),
        underFault(Wave,
                   "60% load; half of the model servers go at 5 s notice, starts refused for 60 s",
                   [](Stage &stage) {
                       stage.refuseStarts(StartsRefused);
                       stage.reclaimPart(0.5, Notice);
                   }),
        underFault("data centre gone",
                   "60% load; a data centre's servers go at 5 s notice, starts refused for 60 s",
                   [](Stage &stage) {
                       stage.refuseStarts(StartsRefused);
                       stage.reclaimDataCentre(0, Notice);
                   }),
        underFault("slow server", "60% load; one server 10 times slower",
                   [](Stage &stage) { stage.slow(1, 10, FaultLength); }),
        underFault("failing server", "60% load; one server cuts every request off",
                   [](Stage &stage) { stage.failFast(1, FaultLength); }),
    };
}

} // namespace snipestall::policy::experiment
