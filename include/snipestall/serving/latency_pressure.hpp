#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <deque>
#include <string>
#include <unordered_map>

namespace snipestall::serving {

/// How long requests of each service wait for their first byte, as a part of their route's target.
class LatencyPressure
{
public:
    void firstByte(const std::string &service, double partOfTarget, SteadyTime now);
    /// The value that nine tenths of the last seconds' requests stay below; 0 without requests.
    [[nodiscard]] double highest(const std::string &service, SteadyTime now);

private:
    static constexpr std::chrono::seconds Window { 4 };
    static constexpr std::size_t MostSamples = 2000;

    struct Sample
    {
        SteadyTime time;
        double part = 0;
    };

    std::unordered_map<std::string, std::deque<Sample>> m_services;
};

} // namespace snipestall::serving
