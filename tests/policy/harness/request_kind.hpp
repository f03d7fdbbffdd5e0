#pragma once

#include "snipestall/policy/event.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace snipestall::policy::harness {

/// One sort of request that callers make.
struct RequestKind
{
    std::string name {};
    Urgency urgency = Urgency::Normal;
    /// Leading prompt tokens shared with other requests of the same customer and template.
    std::uint32_t templateTokens = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::chrono::milliseconds deadline { 30000 };
    bool idempotent = true;
    /// Share of the load by count.
    double weight = 1;
};

} // namespace snipestall::policy::harness
