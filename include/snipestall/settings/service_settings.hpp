#pragma once

#include "snipestall/settings/service_kind.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::settings {

/// Settings of one service in one data centre, the same for all the service's customers.
struct ServiceSettings
{
    std::string service;
    ServiceKind kind = ServiceKind::Model;
    /// Names that callers may give as the model; empty for a plain service.
    std::vector<std::string> models;
    /// Whether calls may be repeated unless the caller specifies otherwise.
    bool idempotent = true;
    /// Whether the service's backend servers reject orders that carry an outdated fencing token.
    bool checksFencing = false;
    /// Requests that one backend server runs concurrently, before adaptation at run time.
    std::uint32_t slotsPerServer = 8;
    /// Fraction of each pool's slots reserved for short urgent requests, 0 to 0.5.
    double urgentReserve = 0.15;
    /// A request of at most this many prompt and output tokens counts as short.
    std::uint32_t shortTokens = 256;
    /// Backend servers kept running and allowed at once in this data centre.
    std::uint32_t minServers = 1;
    std::uint32_t maxServers = 64;
    /// Usual time from an order to start a backend server until the server accepts requests.
    std::chrono::milliseconds startTime { 30000 };
};

} // namespace snipestall::settings
