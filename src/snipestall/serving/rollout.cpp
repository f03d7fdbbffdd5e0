#include "snipestall/serving/rollout.hpp"

#include <algorithm>
#include <array>

namespace snipestall::serving {

namespace {

/// Indexed by RolloutStep.
constexpr std::array<const char *, 7> StepNames { "waiting",    "trial",      "growing",
                                                  "switched",   "completing", "completed",
                                                  "rolled-back" };

} // namespace

const char *toString(RolloutStep step)
{
    return StepNames.at(static_cast<std::size_t>(step));
}

RolloutStep rolloutStepOf(const std::string &name)
{
    const auto found = std::find(StepNames.begin(), StepNames.end(), name);
    return found == StepNames.end() ? RolloutStep::Waiting
                                    : static_cast<RolloutStep>(found - StepNames.begin());
}

bool isFinal(RolloutStep step)
{
    return step == RolloutStep::Completed || step == RolloutStep::RolledBack;
}

double RolloutStage::shareOf(const std::string &route) const
{
    const auto found = shares.find(route);
    return found == shares.end() ? defaultShare : found->second;
}

} // namespace snipestall::serving
