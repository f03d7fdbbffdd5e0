#include "snipestall/serving/stall_rule.hpp"

namespace snipestall::serving {

namespace {

/// A running server never pauses for longer than this while it streams; it is several of its
/// slowest steps.
constexpr std::chrono::milliseconds MinSilence { 450 };
/// Predictions do not include the load of other instances that is not known here yet.
constexpr double PredictionMargin = 3;

} // namespace

bool isStalled(const WaitingAttempt &attempt, SteadyTime now)
{
    const std::chrono::duration<double> limit = MinSilence + attempt.predicted * PredictionMargin;
    return now - attempt.sentAt > limit && now - attempt.serverLastByteAt > limit;
}

} // namespace snipestall::serving
