#include "snipestall/serving/demand_meter.hpp"

#include <algorithm>
#include <vector>

namespace snipestall::serving {

namespace {

using Seconds = std::chrono::duration<double>;

/// Adds the growth of `work` since `counted` to `total`, and updates `counted`.
void addGrowth(const ServiceWork &work, ServiceWork &counted, ServiceWork &total)
{
    for (const auto &[service, seconds] : work) {
        total[service] += std::max(0.0, seconds - counted[service]);
        counted[service] = seconds;
    }
}

double growthSince(const ServiceWork &before, const ServiceWork &now, const std::string &service)
{
    const auto current = now.find(service);
    const auto earlier = before.find(service);
    return (current == now.end() ? 0 : current->second)
        - (earlier == before.end() ? 0 : earlier->second);
}

} // namespace

void DemandMeter::promptRead(const std::string &service, double tokens, Seconds took)
{
    if (tokens < MinPromptTokens || took.count() <= 0)
        return;
    auto &rates = m_rates[service];
    rates.push_back(tokens / took.count());
    if (rates.size() > MaxRates)
        rates.pop_front();
    // On an overloaded fleet every prompt is read slowly. If that were taken as the engines' read
    // rate, the same prompts would count as several times the work, just when servers are missing.
    double &best = m_bestRate[service];
    best = std::max(best * BestRateDecay, rates.size() < MinRates ? 0 : upperRate(rates));
}

double DemandMeter::readRate(const std::string &service) const
{
    const auto found = m_bestRate.find(service);
    return found == m_bestRate.end() ? 0 : found->second;
}

double DemandMeter::upperRate(const std::deque<double> &measured)
{
    std::vector<double> rates(measured.begin(), measured.end());
    // Slower prompts shared their engine with others or were too short compared with its fixed
    // delays.
    constexpr double Quantile = 0.9;
    const auto at = rates.begin()
        + static_cast<std::ptrdiff_t>(Quantile * static_cast<double>(rates.size() - 1));
    std::nth_element(rates.begin(), at, rates.end());
    return *at;
}

void DemandMeter::promptSent(const std::string &service, double tokens)
{
    const double rate = readRate(service);
    if (rate > 0)
        m_ownWork[service] += tokens / rate;
}

void DemandMeter::streamEnded(const std::string &service, Seconds running, double unreadTokens,
                              int slots)
{
    const double rate = readRate(service);
    // Before the rate is known, slots alone would pass for the whole demand.
    if (rate > 0)
        m_ownSlotWork[service] += (running.count() + unreadTokens / rate) / std::max(slots, 1);
}

void DemandMeter::callEnded(const std::string &service, Seconds took, int slots)
{
    m_ownWork[service] += took.count() / std::max(slots, 1);
}

void DemandMeter::updatePeerWork(const std::string &peer, std::uint64_t series,
                                 const ServiceWork &work, const ServiceWork &slotWork)
{
    Peer &known = m_peers[peer];
    if (known.series != series) {
        // Work that the peer did before its first report is not new work.
        known = { series, work, slotWork };
        return;
    }
    addGrowth(work, known.work, m_total);
    addGrowth(slotWork, known.slotWork, m_slotTotal);
}

void DemandMeter::addDemand(const std::string &service, double servers, SteadyTime now)
{
    auto &samples = m_demandSamples[service];
    samples.push_back({ now, servers });
    while (now - samples.front().time > PeakWindow)
        samples.pop_front();
}

void DemandMeter::sample(SteadyTime now)
{
    addGrowth(m_ownWork, m_ownWorkInTotal, m_total);
    addGrowth(m_ownSlotWork, m_ownSlotWorkInTotal, m_slotTotal);
    m_workSamples.push_back({ now, m_total, m_slotTotal });
    while (m_workSamples.size() > 1 && now - m_workSamples[1].time >= RateWindow)
        m_workSamples.pop_front();
    const WorkSample &before = m_workSamples.front();
    const double seconds = Seconds(now - before.time).count();
    if (seconds < Seconds(RateWindow).count() / 2)
        return;
    for (const auto &[service, work] : m_total) {
        const double grown = growthSince(before.work, m_total, service);
        const double slots = growthSince(before.slotWork, m_slotTotal, service);
        m_workNow[service] = grown / seconds;
        addDemand(service, std::max(grown, slots) / seconds, now);
    }
}

double DemandMeter::workNow(const std::string &service) const
{
    const auto found = m_workNow.find(service);
    return found == m_workNow.end() ? 0 : found->second;
}

double DemandMeter::needed(const std::string &service) const
{
    const auto found = m_demandSamples.find(service);
    if (found == m_demandSamples.end())
        return 0;
    double highest = 0;
    for (const DemandSample &demand : found->second)
        highest = std::max(highest, demand.servers);
    return highest;
}

double DemandMeter::neededNow(const std::string &service) const
{
    const auto found = m_demandSamples.find(service);
    return found == m_demandSamples.end() || found->second.empty() ? 0
                                                                   : found->second.back().servers;
}

} // namespace snipestall::serving
