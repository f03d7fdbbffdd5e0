#pragma once

#include "snipestall/policy/event.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace snipestall::policy::harness {

/// A kind of request that callers submit.
struct RequestKind
{
    std::string name {};
    Urgency urgency = Urgency::Normal;
    /// Number of leading prompt tokens that are shared with other requests of the same customer and
    /// template.
    std::uint32_t templateTokens = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::chrono::milliseconds deadline { 30000 };
    bool idempotent = true;
    /// Share of the load by number of requests.
    double weight = 1;
};

} // namespace snipestall::policy::harness
