#include "bench/experiment/condition.hpp"

#include "policy/scenario/stage.hpp"

namespace snipestall::policy::experiment {

namespace {

using namespace std::chrono_literals;
using harness::Load;
using harness::RequestKind;
using harness::Stage;

constexpr Time LoadStart { 2s };
constexpr Time MeasureStart { 12s };
constexpr Duration RunDuration = 90s;
/// The caches are filled by this time, so that cold caches are not counted as an effect of the
/// fault.
constexpr Time FaultStart { 120s };
constexpr Duration FaultRunDuration = 180s;
constexpr Duration ReclaimNotice = 5s;
constexpr Duration StartRefusalDuration = 60s;
constexpr double FaultLoad = 0.6;

Condition conditionWithFault(std::string name, std::string description,
                             std::function<void(Stage &)> fault)
{
    auto condition = steadyLoad(std::move(name), FaultLoad);
    condition.description = std::move(description);
    condition.scenario.steps.push_back({ FaultStart, std::move(fault) });
    condition.scenario.duration = FaultRunDuration;
    condition.window = { FaultStart, Time { FaultRunDuration } };
    return condition;
}

Condition longAndShort()
{
    auto condition = steadyLoad("long and short", 0);
    condition.description = "85% load; 90:10 by count, 10:90 by tokens";
    Load load;
    load.level = 0.85;
    load.kinds = { { "lookup", Urgency::Urgent, 0, 40, 12, 10s, true, 90 },
                   { "review", Urgency::Patient, 0, 3200, 1000, 120s, true, 10 } };
    condition.scenario.steps = { { LoadStart, [load](Stage &stage) { stage.setLoad(load); } } };
    return condition;
}

} // namespace

const char *const FullLoad = "load 100%";
const char *const Overload = "load 150%";
const char *const ReclaimWave = "wave";

Condition steadyLoad(std::string name, double level)
{
    Condition condition { std::move(name), "", {}, { MeasureStart, Time { RunDuration } } };
    condition.scenario.duration = RunDuration;
    Load load;
    load.level = level;
    condition.scenario.steps = { { LoadStart, [load](Stage &stage) { stage.setLoad(load); } } };
    return condition;
}

Condition risingLoad()
{
    constexpr double LowLevel = 0.3;
    constexpr double HighLevel = 0.8;
    constexpr Time RiseStart { 10min };
    constexpr Time FallStart { 20min };
    auto condition = steadyLoad("rising load", LowLevel);
    condition.scenario.duration = 30min;
    condition.window.to = Time { condition.scenario.duration };
    const auto addStep = [&condition](Time at, double level) {
        Load load;
        load.level = level;
        condition.scenario.steps.push_back({ at, [load](Stage &stage) { stage.setLoad(load); } });
    };
    addStep(RiseStart, HighLevel);
    addStep(FallStart, LowLevel);
    return condition;
}

std::vector<Condition> conditions()
{
    return {
        steadyLoad("load 70%", 0.7),
        steadyLoad(FullLoad, 1.0),
        steadyLoad(Overload, 1.5),
        longAndShort(),
        conditionWithFault(
            ReclaimWave,
            "60% load; half of the model servers go at 5 s notice, starts refused for 60 s",
            [](Stage &stage) {
                stage.refuseStarts(StartRefusalDuration);
                stage.reclaimFraction(0.5, ReclaimNotice);
            }),
        conditionWithFault(
            "data centre gone",
            "60% load; a data centre's servers go at 5 s notice, starts refused for 60 s",
            [](Stage &stage) {
                stage.refuseStarts(StartRefusalDuration);
                stage.reclaimDataCentre(0, ReclaimNotice);
            }),
        conditionWithFault("slow server", "60% load; one server 10 times slower",
                           [](Stage &stage) { stage.slow(1, 10, FaultRunDuration); }),
        conditionWithFault("failing server", "60% load; one server cuts every request off",
                           [](Stage &stage) { stage.failFast(1, FaultRunDuration); }),
    };
}

} // namespace snipestall::policy::experiment
