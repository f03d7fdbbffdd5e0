#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::standins {

/// Identity, capacity and timing of one stand-in engine.
struct EngineOptions
{
    std::string name;
    std::string dataCentre;
    std::string service;
    std::string instanceClass;
    std::vector<std::string> models;
    std::uint64_t incarnation = 0;
    std::size_t slots = 8;
    std::size_t queue = 16;
    /// Duration of one decoding step with one stream in the batch.
    std::chrono::nanoseconds tokenTime { std::chrono::milliseconds(10) };
    /// Each further stream in the batch lengthens a step by this fraction of `tokenTime`.
    double batchSlope = 0.02;
    std::chrono::nanoseconds prefillPerToken { std::chrono::microseconds(50) };
    std::size_t cacheBlocks = 4096;
    std::chrono::milliseconds reportLag { 100 };
    std::chrono::milliseconds cacheEventLag { 200 };
    /// Fraction of cache events that are never published.
    double cacheEventGap = 0.02;
    std::chrono::milliseconds exportTime { 50 };
    std::chrono::milliseconds importTime { 20 };
    /// Time that exported KV can still be imported after the engine was reclaimed.
    std::chrono::milliseconds kvTtl { 2000 };
    bool checksFencing = true;
    std::uint64_t seed = 1;
    /// File to which one JSON line is appended when an attempt arrives and when it ends. The file
    /// remains after the process has ended.
    std::string attemptsFile;
};

} // namespace snipestall::standins
