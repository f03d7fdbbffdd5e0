#pragma once

#include "snipestall/base/clock.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace snipestall::serving {

/// How many repeated attempts all instances together may send to a service.
struct RetryLimits
{
    std::chrono::milliseconds window { 10000 };
    /// Repeats allowed per first attempt.
    double ratio = 0.2;
    /// Additional repeats allowed per window, over all instances.
    double slack = 0;
};

/// Limits the repeated attempts that this instance sends to each service.
///
/// Load: many servers fail or lose answers, so that most attempts have to be repeated. Harm:
/// repeats add load to servers that already fail, and so keep the failure going. Repeats are
/// limited to a part of the first attempts in the last window, as counted by this instance, plus
/// this instance's share of the fixed allowance, so all instances together stay within the limit
/// without any messages between them.
class RetryAllowance
{
public:
    explicit RetryAllowance(RetryLimits limits)
        : m_limits(limits)
    { }

    /// Sets the number of instances that share the fixed allowance.
    void setInstances(std::size_t count) { m_instances = count; }
    /// Counts a first attempt.
    void countFirstAttempt(const std::string &service, SteadyTime now);
    /// Takes one repeat from the allowance of the window; returns false if it is used up.
    bool tryRepeat(const std::string &service, SteadyTime now);

private:
    /// Number of slices into which the window is divided for counting.
    static constexpr std::size_t Slices = 20;
    /// Fraction of the limit that is used. The rest is a reserve, because windows slide at both
    /// ends and the instances count separately.
    static constexpr double UsedFraction = 0.7;

    struct Slice
    {
        std::int64_t number = -1;
        std::uint32_t firstAttempts = 0;
        std::uint32_t repeats = 0;
    };
    using Window = std::array<Slice, Slices>;

    Slice &slice(const std::string &service, SteadyTime now);
    [[nodiscard]] std::int64_t sliceNumber(SteadyTime now) const;

    RetryLimits m_limits;
    std::size_t m_instances = 1;
    std::unordered_map<std::string, Window> m_services;
};

} // namespace snipestall::serving
