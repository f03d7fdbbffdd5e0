#include "snipestall/serving/stall_rule.hpp"

namespace snipestall::serving {

namespace {

/// Silence that a live server never shows while it streams: several of its slowest steps.
constexpr std::chrono::milliseconds ShortestSilence { 450 };
/// Predictions are off by the work of other instances that is not known here yet.
constexpr double PredictionMargin = 3;

} // namespace

bool isStalled(const WaitingAttempt &attempt, SteadyTime now)
{
    const std::chrono::duration<double> limit =
        ShortestSilence + attempt.predicted * PredictionMargin;
    return now - attempt.sentAt > limit && now - attempt.serverHeardAt > limit;
}

} // namespace snipestall::serving
