#include "policy/harness/demand_meter.hpp"

#include <chrono>

namespace snipestall::policy::harness {

void DemandMeter::countAsked(const Call &call, const std::string &dataCentre)
{
    m_counts[{ dataCentre, call.service }].asked += call.promptTokens + call.outputTokens;
}

void DemandMeter::countAnswered(const Call &call, const std::string &dataCentre)
{
    m_counts[{ dataCentre, call.service }].answered += call.promptTokens + call.outputTokens;
}

void DemandMeter::countBusy(const std::string &dataCentre, const std::string &service,
                            double servers, Duration period)
{
    m_counts[{ dataCentre, service }].busyServers +=
        servers * std::chrono::duration<double>(period).count();
}

void DemandMeter::finishPeriod(Duration length)
{
    const double seconds = std::chrono::duration<double>(length).count();
    m_rates = std::exchange(m_counts, {});
    for (auto &[key, rate] : m_rates) {
        rate.asked /= seconds;
        rate.answered /= seconds;
        rate.busyServers /= seconds;
    }
}

DemandRate DemandMeter::rate(const std::string &dataCentre, const std::string &service) const
{
    const auto found = m_rates.find({ dataCentre, service });
    return found == m_rates.end() ? DemandRate {} : found->second;
}

} // namespace snipestall::policy::harness
