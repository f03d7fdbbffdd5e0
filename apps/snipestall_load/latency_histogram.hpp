#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace snipestall::load {

/// Counts times in buckets that are 1% wide, from a microsecond up: percentiles to 1%, whatever
/// their number.
class LatencyHistogram
{
public:
    void add(std::chrono::nanoseconds time);
    void add(const LatencyHistogram &other);
    /// The value that `share` of all are not above; 0 without any.
    [[nodiscard]] std::chrono::microseconds percentile(double share) const;
    [[nodiscard]] std::uint64_t count() const { return m_count; }

private:
    std::vector<std::uint64_t> m_buckets;
    std::uint64_t m_count = 0;
};

} // namespace snipestall::load
