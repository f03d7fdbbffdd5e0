#include "snipestall/serving/first_event_estimate.hpp"

#include <algorithm>
#include <vector>

namespace snipestall::serving {

namespace {

using Seconds = std::chrono::duration<double>;

double medianOf(const std::deque<double> &ratios)
{
    std::vector<double> values(ratios.begin(), ratios.end());
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// The requests that the engine admits before one of `band`.
WaitingRequests aheadOf(std::size_t band, const ServerLoad &load)
{
    WaitingRequests ahead;
    for (std::size_t i = 0; i <= band && i < ServerLoad::Bands; ++i) {
        ahead.count += load.waiting[i].count;
        ahead.tokens += load.waiting[i].tokens;
    }
    return ahead;
}

/// Number of streams that have to end before a request has a slot.
double streamsToEnd(const EngineQueue &queue, std::uint32_t ahead)
{
    std::uint32_t waiting = 0;
    for (const WaitingRequests &each : queue.load.waiting)
        waiting += each.count;
    const double running = queue.load.inFlight - std::min(waiting, queue.load.inFlight);
    return std::max(0.0, running + ahead + 1 - std::max(queue.slots, 1));
}

} // namespace

void FirstEventEstimate::setReadRate(const std::string &service, double tokensPerSecond)
{
    m_services[service].tokensPerSecond = tokensPerSecond;
}

double FirstEventEstimate::readRate(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.tokensPerSecond;
}

void FirstEventEstimate::streamEnded(const std::string &service, Seconds inSlot)
{
    double &mean = m_services[service].secondsInSlot;
    mean = mean <= 0 ? inSlot.count() : mean + (inSlot.count() - mean) * Smoothing;
}

void FirstEventEstimate::observed(const std::string &service, const FirstEvent &predicted,
                                  Seconds seen)
{
    Learned &learned = m_services[service];
    const double raw = predicted.total.count() / predicted.factor;
    learned.ratios.push_back(seen.count() / raw);
    if (learned.ratios.size() > MaxRatios)
        learned.ratios.pop_front();
    learned.factor = medianOf(learned.ratios);
}

double FirstEventEstimate::tokensPerSlotWait(const std::string &service, int slots) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return 0;
    return found->second.secondsInSlot * found->second.tokensPerSecond / std::max(slots, 1);
}

std::optional<FirstEvent> FirstEventEstimate::predict(const std::string &service,
                                                      const EngineQueue &queue) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.tokensPerSecond <= 0)
        return std::nullopt;
    const Learned &learned = found->second;
    const WaitingRequests ahead = aheadOf(queue.band, queue.load);
    const double secondsPerToken = queue.slowness / learned.tokensPerSecond;
    const double slotsFreePerSecond =
        std::max(queue.slots, 1) / std::max(learned.secondsInSlot * queue.slowness, 1e-3);
    const Seconds wait { ahead.tokens * secondsPerToken
                         + streamsToEnd(queue, ahead.count) / slotsFreePerSecond };
    const Seconds own = FixedDelay + Seconds(queue.unreadTokens * secondsPerToken);
    return FirstEvent { wait * learned.factor, (wait + own) * learned.factor, learned.factor };
}

} // namespace snipestall::serving
