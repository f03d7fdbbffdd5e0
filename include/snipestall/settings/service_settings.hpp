#pragma once

#include "snipestall/settings/service_kind.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::settings {

/// What one service is, the same for all its customers.
struct ServiceSettings
{
    std::string service;
    ServiceKind kind = ServiceKind::Model;
    /// Model names that callers may ask for; empty for a plain service.
    std::vector<std::string> models;
    /// Calls may be repeated unless the caller says otherwise.
    bool idempotent = true;
    /// Its engines refuse orders that carry an old fencing number.
    bool checksFencing = false;
    /// Requests that one backend server runs side by side, before adaptation.
    std::uint32_t slotsPerServer = 8;
    /// Part of each pool's slots kept for short urgent work, 0 to 0.5.
    double urgentReserve = 0.15;
    /// A request of at most this many tokens in all counts as short.
    std::uint32_t shortTokens = 256;
    std::uint32_t minServers = 1;
    std::uint32_t maxServers = 64;
    std::chrono::milliseconds startTime { 30000 };
};

} // namespace snipestall::settings
