#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <deque>
#include <string>
#include <unordered_map>

namespace snipestall::serving {

/// How long requests of each service wait for their first byte, relative to the target latency of
/// their route.
class LatencyPressure
{
public:
    /// A request got its first byte after `fractionOfTarget` times the target latency.
    void firstByte(const std::string &service, double fractionOfTarget, SteadyTime now);
    /// The 90th percentile of the last seconds; 0 without requests.
    [[nodiscard]] double percentile90(const std::string &service, SteadyTime now);

private:
    static constexpr std::chrono::seconds Window { 4 };
    static constexpr std::size_t MaxSamples = 2000;

    struct Sample
    {
        SteadyTime time;
        double fractionOfTarget = 0;
    };

    std::unordered_map<std::string, std::deque<Sample>> m_services;
};

} // namespace snipestall::serving
