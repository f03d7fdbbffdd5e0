#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace snipestall::serving {

/// Work by service, in seconds of one fully used server, since a process started. The totals only
/// grow.
using ServiceWork = std::map<std::string, double>;

/// Measures how many fully used servers each service would need.
///
/// The work of a model engine is measured in two ways, and the greater one counts: the number of
/// prompt tokens that it has to read, divided by the rate at which engines have been observed to
/// read, and the time in which its requests take slots. Engines with few slots are full long before
/// they read all the time. The work of a plain server is the duration of a request divided by the
/// number of requests that the server runs concurrently. The read rate is measured on requests that
/// had no other prompt waiting ahead of them.
class DemandMeter
{
public:
    /// An engine has read a prompt: its first token came after `took`, with no other prompt waiting
    /// ahead of it.
    void promptRead(const std::string &service, double tokens, std::chrono::duration<double> took);
    /// A prompt of which `tokens` are not cached was sent to an engine.
    void promptSent(const std::string &service, double tokens);
    /// A stream has taken one of the `slots` of an engine for `running`, after its prompt of which
    /// `unreadTokens` were not cached had been read. The time in the engine's queue takes no slot:
    /// if it counted, the same requests would look like more work on an overloaded fleet.
    void streamEnded(const std::string &service, std::chrono::duration<double> running,
                     double unreadTokens, int slots);
    /// A request to a plain server with `slots` concurrent requests ended after `took`.
    void callEnded(const std::string &service, std::chrono::duration<double> took, int slots);
    [[nodiscard]] const ServiceWork &ownWork() const { return m_ownWork; }
    /// The part of the own work that is measured by slots of engines.
    [[nodiscard]] const ServiceWork &ownSlotWork() const { return m_ownSlotWork; }

    /// Adds what a peer's totals have grown by. Totals of another `series` cannot be compared with
    /// earlier ones, so they only set a new base.
    void updatePeerWork(const std::string &peer, std::uint64_t series, const ServiceWork &work,
                        const ServiceWork &slotWork = {});
    /// Drops the totals of a peer whose work another peer also reports.
    void forgetPeer(const std::string &peer) { m_peers.erase(peer); }

    /// Takes a sample; to be called a few times per second while needed() is used.
    void sample(SteadyTime now);
    /// The highest number of fully used servers that the requests of the last seconds needed; 0 if
    /// unknown.
    [[nodiscard]] double needed(const std::string &service) const;
    /// The number needed at the last sample; 0 if unknown.
    [[nodiscard]] double neededNow(const std::string &service) const;
    /// Like neededNow(), but without slots of engines: the number of fully used servers that the
    /// prompts or calls of the last seconds need for reading or serving them.
    [[nodiscard]] double workNow(const std::string &service) const;
    /// Prompt tokens per second that an engine reads when it does nothing else; 0 until enough
    /// prompts have been observed.
    [[nodiscard]] double readRate(const std::string &service) const;

private:
    /// Number of newest measured read rates that are kept for each service.
    static constexpr std::size_t MaxRates = 96;
    /// Fewer measured read rates give no estimate.
    static constexpr std::size_t MinRates = 8;
    /// Shorter prompts measure the engine's fixed delays rather than its read rate.
    static constexpr double MinPromptTokens = 3000;
    /// Long enough that a single long prompt does not look like a rise in demand.
    static constexpr std::chrono::seconds RateWindow { 3 };
    /// A peak counts for this long, because demand that has just fallen may rise again.
    static constexpr std::chrono::seconds PeakWindow { 12 };

    /// Factor applied to the best rate with each prompt: engines do not slow down, but the measured
    /// servers may have been replaced since. A thousand prompts halve it.
    static constexpr double BestRateDecay = 0.9993;

    [[nodiscard]] static double upperRate(const std::deque<double> &rates);
    /// Adds the number of fully used servers that a service needs at `now`.
    void addDemand(const std::string &service, double servers, SteadyTime now);

    struct Peer
    {
        std::uint64_t series = 0;
        ServiceWork work;
        ServiceWork slotWork;
    };
    struct WorkSample
    {
        SteadyTime time;
        ServiceWork work;
        ServiceWork slotWork;
    };
    struct DemandSample
    {
        SteadyTime time;
        double servers = 0;
    };

    /// Measured read rates, by service, oldest first.
    std::unordered_map<std::string, std::deque<double>> m_rates;
    std::unordered_map<std::string, double> m_bestRate;
    ServiceWork m_ownWork;
    ServiceWork m_ownSlotWork;
    std::map<std::string, Peer> m_peers;
    /// Work of all instances together; it only grows.
    ServiceWork m_total;
    ServiceWork m_slotTotal;
    ServiceWork m_ownWorkInTotal;
    ServiceWork m_ownSlotWorkInTotal;
    std::deque<WorkSample> m_workSamples;
    std::map<std::string, double> m_workNow;
    std::map<std::string, std::deque<DemandSample>> m_demandSamples;
};

} // namespace snipestall::serving
