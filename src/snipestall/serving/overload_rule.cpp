#include "snipestall/serving/overload_rule.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace snipestall::serving {

namespace {

using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;

/// A request whose prediction is below this multiple of its target may still be in time: the
/// estimate is meant to be within a factor of two for nine of ten prompts. It is not that accurate
/// yet, see docs/design/first-event-estimate.md.
constexpr double MaxPredictedToTarget = 1.5;
/// Part of the usual limit that applies to customers over their share.
constexpr double OverShareFraction = 0.5;
/// A request that others delay by less than this part of its target is late, if at all, because of
/// its own length, and would be as late at any other time.
constexpr double MinWaitFraction = 0.25;
constexpr milliseconds MinRetryAfter { 100 };
/// Callers come back after at most this part of the timeout, so that there is time left for the
/// answer.
constexpr int RetryTimeoutDivisor = 4;
/// Requests in flight by slots up to which requests of a band are sent; those of a customer over
/// its share count as of the next band. The places of the queue beyond are kept for more urgent
/// ones; an engine queues at least as many requests as it has slots.
constexpr std::array<double, 4> MostUse { std::numeric_limits<double>::infinity(), 1.5, 1.25, 1 };

OverloadRefusal refusal(const FirstEvent &first, Seconds roomAfter, const OverloadInput &input,
                        double random)
{
    const milliseconds most = std::max(input.timeout / RetryTimeoutDivisor, MinRetryAfter);
    const milliseconds least =
        std::clamp(std::chrono::duration_cast<milliseconds>(roomAfter), MinRetryAfter, most);
    const auto jitter = std::chrono::duration_cast<milliseconds>(Seconds(least) * random);
    return { std::chrono::duration_cast<milliseconds>(first.total),
             std::min(least + jitter, most) };
}

} // namespace

std::optional<OverloadRefusal> refusedByLoad(const OverloadInput &input, double random)
{
    if (input.hasFreeSlot || input.target.count() <= 0)
        return std::nullopt;
    const FirstEvent first = input.earliest.value_or(FirstEvent());
    const Seconds limit =
        Seconds(input.target) * MaxPredictedToTarget * (input.overShare ? OverShareFraction : 1);
    const std::size_t band = std::min(input.band + (input.overShare ? 1 : 0), MostUse.size() - 1);
    if (input.leastUse >= MostUse.at(band))
        return refusal(first, first.wait, input, random);
    if (first.wait <= Seconds(input.target) * MinWaitFraction || first.total <= limit)
        return std::nullopt;
    // Until the load that is known now has gone down to the limit.
    return refusal(first, first.total - limit, input, random);
}

} // namespace snipestall::serving
