#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace snipestall::load {

/// Counts durations in logarithmic buckets, from 1 microsecond up, each 1% above the one before.
/// Percentiles are therefore accurate to 1%, whatever the number of durations.
class LatencyHistogram
{
public:
    void add(std::chrono::nanoseconds time);
    /// Adds all durations of another histogram.
    void add(const LatencyHistogram &other);
    /// The duration that the fraction `share` (0 to 1) of all durations do not exceed; 0 if there
    /// are none.
    [[nodiscard]] std::chrono::microseconds percentile(double share) const;
    [[nodiscard]] std::uint64_t count() const { return m_count; }

private:
    std::vector<std::uint64_t> m_buckets;
    std::uint64_t m_count = 0;
};

} // namespace snipestall::load
