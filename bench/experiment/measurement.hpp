#pragma once

#include "bench/experiment/condition.hpp"
#include "bench/experiment/contestant.hpp"

#include "policy/harness/deployment.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace snipestall::policy::experiment {

/// The result of one contestant under one condition, over all seeds.
struct Measurement
{
    std::string deployment;
    std::string condition;
    std::string contestant;
    /// Tallies under the keys "urgent", "normal", "patient" and "plain".
    std::map<std::string, harness::Tally> classes;
    double fairness = 0;
    double costPerHour = 0;
    double costPerMillionInTarget = 0;
    double goodput = 0;
    std::uint64_t lostTokens = 0;
    std::uint64_t missedTokens = 0;
    std::uint32_t lostCalls = 0;
    std::uint32_t unsafeRetries = 0;

    [[nodiscard]] double shareInTarget(const std::string &urgency) const;
    [[nodiscard]] std::uint64_t recomputed() const { return lostTokens + missedTokens; }
};

Measurement measure(const harness::Deployment &deployment, const Condition &condition,
                    const Contestant &contestant, std::span<const std::uint64_t> seeds);

} // namespace snipestall::policy::experiment
