#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace snipestall::settings {

/// Everything in force for one customer's use of one service in one data centre, after inheritance
/// fleet -> data centre -> customer -> service.
struct LeafSettings
{
    std::string customer;
    std::string service;

    std::chrono::milliseconds firstTokenTarget { 1200 };
    std::chrono::milliseconds interTokenTarget { 35 };
    /// Deadline of a request that names none.
    std::chrono::milliseconds deadline { 60000 };

    /// Share among customers under contention, > 0.
    double weight = 1.0;
    /// This data centre's share of the customer's limits; 0 means none allowed.
    double requestsPerSecond = 100.0;
    double tokensPerSecond = 100000.0;
    std::uint32_t concurrency = 64;

    /// 0 (latency alone) to 1 (cost alone).
    double costPreference = 0.5;
};

} // namespace snipestall::settings
