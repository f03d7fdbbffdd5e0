#pragma once

#include "policy/harness/request_kind.hpp"
#include "snipestall/policy/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::policy::harness {

/// The load from a moment on. Levels are fractions of what the whole fleet can serve.
struct Load
{
    double level = 0;
    double plainLevel = 0.1;
    /// If empty, the kinds of the deployment apply.
    std::vector<RequestKind> kinds;
    /// Overrides the shares of some customers; the others divide the rest.
    std::map<std::string, double> customerShare;
    /// Fraction of the requests that use one and the same template.
    double hotPrefix = 0;
    /// Fraction of the callers that retry at once when refused, regardless of the retry time in the
    /// refusal.
    double ignoreRetryAfter = 0;
    /// Number of submissions that a caller makes in all.
    std::uint32_t tries = 1;
    /// A caller that has received no token for this long gives up and, with tries left, submits
    /// again.
    std::optional<Duration> patience;
};

} // namespace snipestall::policy::harness
