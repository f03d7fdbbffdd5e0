#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace snipestall::serving {

/// Seconds of a whole server's work by service, since a process started; it only grows.
using ServiceWork = std::map<std::string, double>;

/// Measures how many servers each service would need if they were fully used.
///
/// An engine's work is the prompt tokens it has to read over the rate at which engines are seen to
/// read; a plain server's is the time a request takes over the requests it takes at once. The rate
/// is taken from requests that found no prompt waiting before them.
class DemandMeter
{
public:
    /// A prompt was read: its first token came after `took`, with nothing waiting ahead of it.
    void sawPromptRead(const std::string &service, double tokens,
                       std::chrono::duration<double> took);
    void promptSent(const std::string &service, double tokens);
    void callEnded(const std::string &service, std::chrono::duration<double> took, int slots);
    [[nodiscard]] const ServiceWork &ownWork() const { return m_ownWork; }

    /// A peer's totals; those of another series say nothing of how these have grown.
    void peerWork(const std::string &peer, std::uint64_t series, const ServiceWork &work);
    /// What a peer says is told by another one, too.
    void forgetPeer(const std::string &peer) { m_peers.erase(peer); }

    /// To be called a few times a second by whoever wants `needed`.
    void sample(SteadyTime now);
    /// Fully used servers that the last seconds' requests needed, at the highest; 0 if not known.
    [[nodiscard]] double needed(const std::string &service) const;
    /// The same at the last sample; 0 if not known.
    [[nodiscard]] double neededNow(const std::string &service) const;
    /// Prompt tokens a second that an engine reads when it does nothing else; 0 until enough
    /// prompts were seen.
    [[nodiscard]] double readRate(const std::string &service) const;

private:
    static constexpr std::size_t MostRates = 96;
    static constexpr std::size_t FewestRates = 8;
    /// Shorter prompts measure the engine's fixed delays more than its reading.
    static constexpr double ShortestPrompt = 3000;
    /// Long enough that one long prompt does not look like a rise.
    static constexpr std::chrono::seconds Span { 3 };
    /// A peak counts for this long: demand that has just fallen may rise again.
    static constexpr std::chrono::seconds Remembered { 12 };

    /// Part of the best rate that is kept with each prompt: engines don't slow down, but what was
    /// measured may belong to servers that have been replaced. A thousand prompts halve it.
    static constexpr double RateKept = 0.9993;

    [[nodiscard]] static double upperRate(const std::deque<double> &rates);

    struct Peer
    {
        std::uint64_t series = 0;
        ServiceWork work;
    };
    struct Total
    {
        SteadyTime time;
        ServiceWork work;
    };
    struct Need
    {
        SteadyTime time;
        double servers = 0;
    };

    std::unordered_map<std::string, std::deque<double>> m_rates;
    std::unordered_map<std::string, double> m_bestRate;
    ServiceWork m_ownWork;
    std::map<std::string, Peer> m_peers;
    /// Work of all instances together; it only grows.
    ServiceWork m_total;
    ServiceWork m_ownCounted;
    std::deque<Total> m_totals;
    std::map<std::string, std::deque<Need>> m_needs;
};

} // namespace snipestall::serving
