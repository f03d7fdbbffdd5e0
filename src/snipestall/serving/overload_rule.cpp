#include "snipestall/serving/overload_rule.hpp"

#include <algorithm>

namespace snipestall::serving {

namespace {

using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;

/// A request whose prediction is below this multiple of its target may still be in time: the
/// estimate is meant to be within a factor of two for nine of ten prompts. It is not that accurate
/// yet, see docs/design/first-event-estimate.md.
constexpr double RefusedFrom = 1.5;
/// Part of the usual limit that applies to customers over their share.
constexpr double OverShareFraction = 0.5;
constexpr milliseconds MinRetryAfter { 100 };
/// Callers come back after at most this part of the timeout, so that there is time left for the
/// answer.
constexpr int RetryWithinFraction = 4;

} // namespace

std::optional<OverloadRefusal> refusedByLoad(const OverloadInput &input, double random)
{
    if (input.hasFreeSlot || !input.earliest || input.target.count() <= 0)
        return std::nullopt;
    const FirstEvent &first = *input.earliest;
    const Seconds limit =
        Seconds(input.target) * RefusedFrom * (input.overShare ? OverShareFraction : 1);
    if (first.wait.count() <= 0 || first.total <= limit)
        return std::nullopt;
    const milliseconds most = std::max(input.timeout / RetryWithinFraction, MinRetryAfter);
    // The time in which the load that is known now falls to the limit.
    const auto excess = std::chrono::duration_cast<milliseconds>(first.total - limit);
    const milliseconds least = std::clamp(excess, MinRetryAfter, most);
    const auto jitter = std::chrono::duration_cast<milliseconds>(Seconds(least) * random);
    return OverloadRefusal { std::chrono::duration_cast<milliseconds>(first.total),
                             std::min(least + jitter, most) };
}

} // namespace snipestall::serving
