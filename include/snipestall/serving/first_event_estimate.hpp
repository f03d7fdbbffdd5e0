#pragma once

#include "snipestall/serving/server_load.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace snipestall::serving {

/// State of one engine that determines when a prompt gets its first event there.
struct EngineQueue
{
    /// Load of all instances, without the prompt itself.
    ServerLoad load;
    int slots = 1;
    /// Time that work takes there, relative to the other engines of the service.
    double slowness = 1;
    /// Band of urgency of the prompt: an engine admits those of lower bands first.
    std::size_t band = 0;
    /// Tokens of the prompt that the engine has to read.
    double unreadTokens = 0;
};

/// Predicted time from sending a prompt to its first event.
struct FirstEvent
{
    /// The part that other requests cause.
    std::chrono::duration<double> wait { 0 };
    std::chrono::duration<double> total { 0 };
    /// The learned correction that both have been multiplied by.
    double factor = 1;
};

/// Predicts when prompts get their first event at engines.
///
/// Load: prompts queue at engines, by urgency, until the engine has read those ahead and a slot is
/// free. Harm: without a prediction, a prompt that cannot be in time is sent nevertheless, waits,
/// and delays all that come after it. How much a full batch slows down reading, and how much of the
/// load is not known yet, depends on the engines and on the fleet; both are learned as one factor
/// from the newest prompts. As long as no rate is known, because all prompts are too short to
/// measure it or the process has just started, prompts are counted instead of tokens.
class FirstEventEstimate
{
public:
    /// Tokens per second that an idle engine reads.
    void setReadRate(const std::string &service, double tokensPerSecond);
    /// The rate set last; 0 if unknown.
    [[nodiscard]] double readRate(const std::string &service) const;
    /// A prompt, of any length, with none ahead of it got its first event after `took`.
    void promptReadAlone(const std::string &service, std::chrono::duration<double> took);
    /// A stream has kept its slot for this long.
    void streamEnded(const std::string &service, std::chrono::duration<double> inSlot);
    /// A prompt for which `predicted` had been returned got its first event after `seen`.
    void observed(const std::string &service, const FirstEvent &predicted,
                  std::chrono::duration<double> seen);
    /// Tokens that an idle engine with `slots` taken slots would read until one of them is free; 0
    /// if unknown.
    [[nodiscard]] double tokensPerSlotWait(const std::string &service, int slots) const;
    /// Returns nothing while too little is known of the service.
    [[nodiscard]] std::optional<FirstEvent> predict(const std::string &service,
                                                    const EngineQueue &queue) const;

private:
    /// The newest of these are kept: enough for a median, few enough to follow a change of load
    /// within seconds.
    static constexpr std::size_t MaxRatios = 64;
    /// Weight of the newest stream in the mean time in a slot.
    static constexpr double Smoothing = 0.05;
    /// Time on the network and in the engine's first step.
    static constexpr std::chrono::milliseconds FixedDelay { 20 };

    struct Learned
    {
        double tokensPerSecond = 0;
        /// Mean time to the first event of a prompt with none ahead of it.
        double secondsPerPrompt = 0;
        double secondsInSlot = 0;
        /// Observed time / prediction without the correction, oldest first. It begins with
        /// predictions that are taken for right, because a single odd one must not set the factor.
        std::deque<double> ratios = std::deque<double>(8, 1.0);
        double factor = 1;
    };

    std::unordered_map<std::string, Learned> m_services;
};

} // namespace snipestall::serving
