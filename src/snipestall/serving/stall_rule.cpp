#include "snipestall/serving/stall_rule.hpp"

#include <array>
#include <cstddef>

namespace snipestall::serving {

namespace {

/// A running server never pauses for longer than this while it streams; it is several of its
/// slowest steps.
constexpr std::chrono::milliseconds MinSilence { 450 };
/// Predictions do not include the load of other instances that is not known here yet.
constexpr double PredictionMargin = 3;
/// A choice of a server among thousands takes a part of a millisecond, and hundreds of attempts may
/// be stalled at the same time.
constexpr int DecisionsPerDoubling = 4;
constexpr std::array<const char *, 6> DecisionNames {
    "replaced", "no-run-left", "blocked", "no-time-left", "no-repeat-left", "no-server",
};

} // namespace

bool isStalled(const WaitingAttempt &attempt, SteadyTime now)
{
    const std::chrono::duration<double> limit = MinSilence + attempt.predicted * PredictionMargin;
    return now - attempt.sentAt > limit && now - attempt.serverLastByteAt > limit;
}

StallDecision decideStall(const ReplacementMeans &means)
{
    if (means.runsLeft <= 0)
        return StallDecision::NoRunLeft;
    if (means.blocked)
        return StallDecision::Blocked;
    if (means.timeLeft.count() <= 0 || means.predicted >= means.timeLeft)
        return StallDecision::NoTimeLeft;
    if (!means.repeatLeft)
        return StallDecision::NoRepeatLeft;
    return means.serverFound ? StallDecision::Replace : StallDecision::NoServer;
}

SteadyTime nextStallDecision(SteadyTime sentAt, SteadyTime now)
{
    return now + (now - sentAt) / DecisionsPerDoubling;
}

const char *toString(StallDecision decision)
{
    return DecisionNames.at(static_cast<std::size_t>(decision));
}

} // namespace snipestall::serving
