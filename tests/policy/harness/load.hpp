#pragma once

#include "policy/harness/request_kind.hpp"
#include "snipestall/policy/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::policy::harness {

/// What callers ask for from one moment on. Levels are parts of what the whole fleet can serve.
struct Load
{
    double level = 0;
    double plainLevel = 0.1;
    /// Empty: the deployment's own.
    std::vector<RequestKind> kinds;
    /// Overrides of customers' shares; the others divide the rest.
    std::map<std::string, double> customerShare;
    /// Part of the requests that use one and the same template.
    double hotPrefix = 0;
    /// Part of the callers that come back at once when refused, whatever they were told.
    double ignoreRetryAfter = 0;
    /// Submissions a caller makes in all.
    std::uint32_t tries = 1;
    /// A caller that saw no token for so long gives up and, with tries left, asks again.
    std::optional<Duration> patience;
};

} // namespace snipestall::policy::harness
