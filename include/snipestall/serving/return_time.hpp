#pragma once

#include <chrono>

namespace snipestall::serving {

/// A caller whose request is refused.
struct RefusedCaller
{
    /// Time until there may be room for the request.
    std::chrono::milliseconds roomAfter { 0 };
    /// Target latency of its route, and the time that the caller still waits.
    std::chrono::milliseconds target { 0 };
    std::chrono::milliseconds left { 0 };
};

/// Returns when the caller is told to come back.
///
/// Load: for some seconds more is asked than can be served, by one customer or by all. Harm:
/// callers that come back meanwhile are late in any case, and each that is admitted then takes the
/// place of a new request that could have been in time. A caller comes back as soon as there is
/// room if that may be in time; otherwise as late as it waits at all, when the load is more likely
/// to be over. `random`, from 0 up to 1, spreads the callers.
std::chrono::milliseconds returnTime(const RefusedCaller &caller, double random);

/// Returns when the caller is told to come back if a server gets requests again after `wait`, and
/// not before. `random` spreads the callers, so that they don't all come with the first.
std::chrono::milliseconds returnTimeAfter(std::chrono::milliseconds wait, double random);

} // namespace snipestall::serving
