#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::standins {

/// What one stand-in engine is and how fast it works.
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
    /// Time of one decoding step with one stream in the batch.
    std::chrono::nanoseconds tokenTime { std::chrono::milliseconds(10) };
    /// Each further stream of the batch makes a step longer by this share.
    double batchSlope = 0.02;
    std::chrono::nanoseconds prefillPerToken { std::chrono::microseconds(50) };
    std::size_t cacheBlocks = 4096;
    std::chrono::milliseconds reportLag { 100 };
    std::chrono::milliseconds cacheEventLag { 200 };
    /// Share of cache events that are never published.
    double cacheEventGap = 0.02;
    std::chrono::milliseconds exportTime { 50 };
    std::chrono::milliseconds importTime { 20 };
    /// How long exported KV can still be imported after the engine was taken.
    std::chrono::milliseconds kvTtl { 2000 };
    bool checksFencing = true;
    std::uint64_t seed = 1;
    /// Gets one JSON line per arrival and end of an attempt; outlives the process.
    std::string attemptsFile;
};

} // namespace snipestall::standins
