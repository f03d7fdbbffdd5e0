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

/// What an engine has to do before it begins with a prompt.
struct WorkAhead
{
    double tokens = 0;
    /// Prompts that these tokens are of.
    double prompts = 0;
    /// Streams that have to end before the prompt has a slot.
    double streams = 0;
};

WorkAhead workAhead(const EngineQueue &queue)
{
    std::uint32_t all = 0;
    for (const WaitingRequests &each : queue.load.waiting)
        all += each.count;
    const auto slots = static_cast<double>(std::max(queue.slots, 1));
    // Reports of earlier versions don't tell who waits, so more requests than slots may seem to
    // run.
    const double running =
        std::min<double>(queue.load.inFlight - std::min(all, queue.load.inFlight), slots);
    // Requests in slots are read in the order in which they got them, whatever their urgency.
    const double inSlots = std::min<double>(all, slots - running);
    double left = inSlots;
    double queued = 0;
    WorkAhead ahead;
    for (std::size_t i = 0; i < ServerLoad::Bands; ++i) {
        const WaitingRequests &each = queue.load.waiting[i];
        const double admitted = std::min<double>(each.count, left);
        left -= admitted;
        if (i <= queue.band) {
            ahead.tokens += each.tokens;
            ahead.prompts += each.count;
            queued += each.count - admitted;
        } else if (each.count > 0) {
            ahead.tokens += each.tokens * admitted / each.count;
            ahead.prompts += admitted;
        }
    }
    // A slot that a less urgent request has taken is not given up for an urgent one.
    if (running + inSlots >= slots)
        ahead.streams = queued + 1;
    return ahead;
}

} // namespace

void FirstEventEstimate::setReadRate(const std::string &service, double tokensPerSecond)
{
    Learned &learned = m_services[service];
    // The factor was learned for predictions by the number of prompts.
    if (learned.tokensPerSecond <= 0 && tokensPerSecond > 0) {
        learned.ratios = Learned().ratios;
        learned.factor = 1;
    }
    learned.tokensPerSecond = tokensPerSecond;
}

void FirstEventEstimate::promptReadAlone(const std::string &service, Seconds took)
{
    double &mean = m_services[service].secondsPerPrompt;
    mean = mean <= 0 ? took.count() : mean + (took.count() - mean) * Smoothing;
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
    if (found == m_services.end())
        return std::nullopt;
    const Learned &learned = found->second;
    const bool byTokens = learned.tokensPerSecond > 0;
    if (!byTokens && learned.secondsPerPrompt <= 0)
        return std::nullopt;
    const WorkAhead ahead = workAhead(queue);
    if (ahead.streams > 0 && learned.secondsInSlot <= 0)
        return std::nullopt;
    const double secondsPerToken = byTokens ? queue.slowness / learned.tokensPerSecond : 0;
    const double secondsPerPrompt = byTokens ? 0 : queue.slowness * learned.secondsPerPrompt;
    const double secondsPerStream =
        learned.secondsInSlot * queue.slowness / std::max(queue.slots, 1);
    const Seconds wait { ahead.tokens * secondsPerToken + ahead.prompts * secondsPerPrompt
                         + ahead.streams * secondsPerStream };
    const Seconds own = byTokens
        ? Seconds(FixedDelay) + Seconds(queue.unreadTokens * secondsPerToken)
        : Seconds(secondsPerPrompt);
    return FirstEvent { wait * learned.factor, (wait + own) * learned.factor, learned.factor };
}

} // namespace snipestall::serving
