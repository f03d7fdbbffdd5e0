#pragma once

#include "call_record.hpp"
#include "latency_histogram.hpp"

#include <string>
#include <vector>

namespace snipestall::load {

/// Latencies of one class of work. The time to the first token and the total time count from the
/// time at which a call was due.
struct ClassTimes
{
    LatencyHistogram firstToken;
    LatencyHistogram betweenTokens;
    /// Completed calls only.
    LatencyHistogram total;
};

/// Results of one phase of a run.
struct Results
{
    /// "direct" or "snipestall".
    std::string phase;
    std::vector<CallRecord> records;
    /// One element for each of the mix's classes, in their order.
    std::vector<ClassTimes> classes;
    /// Delay between the time at which a call was due and the time at which this program sent it.
    /// The measured latencies include it, although it is caused by this program.
    LatencyHistogram startLag;
    /// Calls that were not sent because too many were open.
    std::uint64_t notSent = 0;
};

} // namespace snipestall::load
