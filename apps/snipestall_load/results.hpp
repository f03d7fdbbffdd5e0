#pragma once

#include "call_record.hpp"
#include "latency_histogram.hpp"

#include <string>
#include <vector>

namespace snipestall::load {

/// Times of one class of work.
struct ClassTimes
{
    LatencyHistogram firstToken;
    LatencyHistogram betweenTokens;
    LatencyHistogram total;
};

/// Everything that a phase of a run has brought.
struct Results
{
    std::string phase;
    std::vector<CallRecord> records;
    /// By the mix's classes.
    std::vector<ClassTimes> classes;
    /// How late calls left this program: what it measures is its own fault beyond that.
    LatencyHistogram startLag;
    /// Calls that were not sent because too many were open.
    std::uint64_t notSent = 0;
};

} // namespace snipestall::load
