#include "snipestall/serving/latency_pressure.hpp"

#include <algorithm>
#include <vector>

namespace snipestall::serving {

void LatencyPressure::firstByte(const std::string &service, double fractionOfTarget, SteadyTime now)
{
    auto &samples = m_services[service];
    samples.push_back({ now, fractionOfTarget });
    if (samples.size() > MaxSamples)
        samples.pop_front();
}

double LatencyPressure::percentile90(const std::string &service, SteadyTime now)
{
    constexpr double Quantile = 0.9;
    auto &samples = m_services[service];
    while (!samples.empty() && now - samples.front().time > Window)
        samples.pop_front();
    if (samples.empty())
        return 0;
    std::vector<double> values;
    values.reserve(samples.size());
    for (const Sample &sample : samples)
        values.push_back(sample.fractionOfTarget);
    const auto at = values.begin()
        + static_cast<std::ptrdiff_t>(Quantile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

} // namespace snipestall::serving
