#include "latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace snipestall::load {

namespace {

constexpr double BucketRatio = 1.01;

std::size_t bucketIndex(std::chrono::nanoseconds time)
{
    const double micros = std::chrono::duration<double, std::micro>(time).count();
    return static_cast<std::size_t>(std::log(std::max(micros, 1.0)) / std::log(BucketRatio));
}

} // namespace

void LatencyHistogram::add(std::chrono::nanoseconds time)
{
    const std::size_t bucket = bucketIndex(time);
    if (bucket >= m_buckets.size())
        m_buckets.resize(bucket + 1);
    ++m_buckets[bucket];
    ++m_count;
}

void LatencyHistogram::add(const LatencyHistogram &other)
{
    m_buckets.resize(std::max(m_buckets.size(), other.m_buckets.size()));
    for (std::size_t i = 0; i < other.m_buckets.size(); ++i)
        m_buckets[i] += other.m_buckets[i];
    m_count += other.m_count;
}

std::chrono::microseconds LatencyHistogram::percentile(double share) const
{
    if (m_count == 0)
        return {};
    const auto rank = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(m_count)));
    std::uint64_t seen = 0;
    std::size_t bucket = 0;
    for (; bucket < m_buckets.size(); ++bucket) {
        seen += m_buckets[bucket];
        if (seen >= std::max<std::uint64_t>(rank, 1))
            break;
    }
    const double micros = std::pow(BucketRatio, static_cast<double>(bucket) + 0.5);
    return std::chrono::microseconds(std::llround(micros));
}

} // namespace snipestall::load
