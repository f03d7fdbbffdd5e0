#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::peer {

/// Load and spare capacity of one instance for one service, as sent in heartbeats.
struct PoolLoad
{
    std::string service;
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0;
    std::uint32_t servers = 0;
    std::chrono::milliseconds wait {};
    std::vector<std::uint32_t> prefixSketch;
    // The fields below are those of policy::PoolSummary, where they are documented.
    std::vector<std::uint64_t> quarantined {};
    std::uint32_t urgentFreeSlots = 0;
    std::optional<std::chrono::milliseconds> urgentWait {};
    std::optional<std::chrono::milliseconds> patientWait {};
    std::chrono::microseconds tokenTime {};
    std::uint32_t ejected = 0;
    double failureRate = 0;
};

} // namespace snipestall::peer
