#include "snipestall/serving/rate_monitor.hpp"

#include <algorithm>
#include <cmath>

namespace snipestall::serving {

namespace {

/// With a normal rate of 0, a single event would be proof, and with 1 nothing would be.
constexpr double LowestRate = 0.003;
constexpr double HighestRate = 0.9;

} // namespace

void RateMonitor::add(double events, double answers, double normalRate)
{
    const double normal = std::clamp(normalRate, LowestRate, HighestRate);
    const double raised = normal + m_excess * (1 - normal);
    const double most = std::max(MaxPerBatch, MaxPerAnswer * answers);
    const double change = events * std::log(raised / normal)
        + (answers - events) * std::log((1 - raised) / (1 - normal));
    m_raised = std::max(0.0, m_raised + std::min(change, most));
    m_sum += std::min(change, most);
}

} // namespace snipestall::serving
