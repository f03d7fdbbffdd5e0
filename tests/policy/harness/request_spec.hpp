#pragma once

#include "snipestall/policy/event.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::policy::harness {

/// A request as its caller specifies it, the same for each submission.
struct RequestSpec
{
    std::string kind;
    std::string customer;
    std::string service;
    bool plain = false;
    Urgency urgency = Urgency::Normal;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::vector<std::uint64_t> prefix;
    /// Hash of the whole body, the same for each submission.
    std::uint64_t fingerprint = 0;
    bool idempotent = true;
    bool crashesServer = false;
    Duration timeAllowed {};
    Duration firstTokenTarget {};
    Duration interTokenTarget {};

    std::uint32_t triesLeft = 0;
    bool ignoresRetryAfter = false;
    std::optional<Duration> patience;
};

} // namespace snipestall::policy::harness
