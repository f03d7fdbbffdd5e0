#include "snipestall/serving/request_durations.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace snipestall::serving {

using std::chrono::milliseconds;

std::size_t RequestDurations::classOf(SteadyTime::duration took)
{
    const double ms = std::chrono::duration<double, std::milli>(took).count();
    if (ms <= ShortestMs)
        return 0;
    const double at = std::ceil(std::log2(ms / ShortestMs) * ClassesPerDoubling);
    return static_cast<std::size_t>(std::min(at, static_cast<double>(Classes - 1)));
}

milliseconds RequestDurations::longestOf(std::size_t at)
{
    const double doublings = static_cast<double>(at) / ClassesPerDoubling;
    return milliseconds(
        static_cast<milliseconds::rep>(std::ceil(ShortestMs * std::exp2(doublings))));
}

void RequestDurations::count(Series &series, SteadyTime::duration took)
{
    series.counts.at(classOf(took)) += 1;
    if (++series.sinceHalved < HalvedAfter)
        return;
    series.sinceHalved = 0;
    for (float &number : series.counts)
        number /= 2;
}

void RequestDurations::ended(const std::string &route, const std::string &service, SteadyTime began,
                             SteadyTime now)
{
    const auto [found, added] = m_series.try_emplace({ route, service });
    Series &series = found->second;
    series.firstBegan = added ? began : std::min(series.firstBegan, began);
    series.lastMeasured = now;
    series.measured = std::min(series.measured + 1, MinMeasured);
    count(series, now - began);
    if (m_series.size() > MaxSeries)
        dropOldest();
}

void RequestDurations::running(const std::string &route, const std::string &service,
                               SteadyTime began, SteadyTime now)
{
    const auto found = m_series.find({ route, service });
    if (found != m_series.end())
        count(found->second, now - began);
}

milliseconds RequestDurations::expected(const std::string &route, const std::string &service,
                                        milliseconds limit, SteadyTime now) const
{
    const auto found = m_series.find({ route, service });
    if (found == m_series.end())
        return limit;
    const Series &series = found->second;
    // Within a shorter time, only the shorter requests have ended.
    if (series.measured < MinMeasured || now - series.firstBegan < limit)
        return limit;
    const auto &counts = series.counts;
    const double total = std::accumulate(counts.begin(), counts.end(), 0.0);
    double longer = 0;
    std::size_t at = Classes - 1;
    while (at > 0 && longer + counts.at(at) <= LongerShare * total)
        longer += counts.at(at--);
    return at == Classes - 1 ? limit : std::min(limit, longestOf(at));
}

void RequestDurations::dropOldest()
{
    m_series.erase(
        std::min_element(m_series.begin(), m_series.end(), [](const auto &left, const auto &right) {
            return left.second.lastMeasured < right.second.lastMeasured;
        }));
}

} // namespace snipestall::serving
