#pragma once

#include "snipestall/base/clock.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace snipestall::serving {

/// How many repeats a service may get from all instances together.
struct RetryLimits
{
    std::chrono::milliseconds window { 10000 };
    /// Repeats allowed per first attempt.
    double ratio = 0.2;
    /// Repeats allowed besides, over all instances.
    double slack = 0;
};

/// Limits the repeats that this instance sends to each service.
///
/// Load: servers fail or lose answers in numbers, so that most attempts call for a repeat. Harm:
/// repeats add load to servers that already fail, and the failure keeps itself going. Repeats are
/// limited to a part of the first attempts of the last window, counted here, and to this
/// instance's part of the fixed allowance, so the instances together stay within the limit without
/// a message between them.
class RetryAllowance
{
public:
    explicit RetryAllowance(RetryLimits limits)
        : m_limits(limits)
    { }

    void setInstances(std::size_t count) { m_instances = count; }
    void first(const std::string &service, SteadyTime now);
    /// Takes one repeat out; false when the window's allowance is used up.
    bool repeat(const std::string &service, SteadyTime now);

private:
    static constexpr std::size_t Slices = 20;
    /// Windows slide at both ends and instances count apart, so a part is kept in reserve.
    static constexpr double UsedPart = 0.7;

    struct Slice
    {
        std::int64_t number = -1;
        std::uint32_t firsts = 0;
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
