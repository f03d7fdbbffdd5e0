#include "snipestall/serving/overload_rule.hpp"

#include <algorithm>

namespace snipestall::serving {

namespace {

using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;

/// Nine of ten predictions are within a factor of two, so a request with a lower one may still be
/// in time.
constexpr double RefusedFrom = 1.5;
/// Part of the usual limit that applies to customers over their share.
constexpr double OverShareFraction = 0.5;
/// A request that others delay by less than this part of its target is late, if at all, because of
/// its own length, and would be as late at any other time.
constexpr double MinWaitFraction = 0.25;
constexpr milliseconds MinRetryAfter { 100 };
/// Callers come back while they have time left for the answer.
constexpr int RetryWithinFraction = 4;

} // namespace

std::optional<OverloadRefusal> refusedByLoad(const OverloadInput &input, double random)
{
    if (input.hasFreeSlot || !input.earliest || input.target.count() <= 0)
        return std::nullopt;
    const FirstEvent &first = *input.earliest;
    const Seconds limit =
        Seconds(input.target) * RefusedFrom * (input.overShare ? OverShareFraction : 1);
    if (first.wait <= Seconds(input.target) * MinWaitFraction || first.total <= limit)
        return std::nullopt;
    const milliseconds most = std::max(input.timeout / RetryWithinFraction, MinRetryAfter);
    // Until the load that is known now has gone down to the limit.
    const auto excess = std::chrono::duration_cast<milliseconds>(first.total - limit);
    const milliseconds least = std::clamp(excess, MinRetryAfter, most);
    const auto jitter = std::chrono::duration_cast<milliseconds>(Seconds(least) * random);
    return OverloadRefusal { std::chrono::duration_cast<milliseconds>(first.total),
                             std::min(least + jitter, most) };
}

} // namespace snipestall::serving
