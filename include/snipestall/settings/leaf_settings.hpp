#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace snipestall::settings {

/// The settings in force for one customer's use of one service in one data centre, after
/// inheritance fleet -> data centre -> customer -> service.
struct LeafSettings
{
    std::string customer;
    std::string service;

    /// Target time from a request's arrival to the first byte of its response.
    std::chrono::milliseconds firstTokenTarget { 1200 };
    /// Target time between two tokens of one stream.
    std::chrono::milliseconds interTokenTarget { 35 };
    /// Deadline of a request that does not specify one.
    std::chrono::milliseconds deadline { 60000 };

    /// Share of contended capacity relative to other customers, > 0.
    double weight = 1.0;
    /// This data centre's part of the customer's limits; 0 allows no requests.
    double requestsPerSecond = 100.0;
    double tokensPerSecond = 100000.0;
    std::uint32_t concurrency = 64;

    /// Weight of cost against latency in placement: 0 (latency alone) to 1 (cost alone).
    double costPreference = 0.5;
};

} // namespace snipestall::settings
