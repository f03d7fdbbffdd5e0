#pragma once

#include "snipestall/base/clock.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace snipestall::serving {

/// Measures how long requests of each route take at each service, and predicts how long a further
/// one takes at most.
///
/// Load: a process that was asked to stop gets requests that may not be repeated.
/// Harm: such a request is lost for its caller if it still runs when the process has to end, while
/// a refused one is served elsewhere at once. So the prediction is an upper quantile, and without
/// enough measurements it is the limit of the request.
class RequestDurations
{
public:
    /// Fewer measured requests give no prediction.
    static constexpr int MinMeasured = 20;
    /// Pairs of route and service that are kept.
    static constexpr std::size_t MaxSeries = 1000;

    /// A request that has run from `began` to `now` has ended.
    void ended(const std::string &route, const std::string &service, SteadyTime began,
               SteadyTime now);
    /// A request that has run since `began` has not ended yet. It takes at least that long, which
    /// shows while no request ends, as beside servers that have fallen silent.
    void running(const std::string &route, const std::string &service, SteadyTime began,
                 SteadyTime now);
    /// Returns how long a request of which all take less than `limit` is expected to take at most.
    [[nodiscard]] std::chrono::milliseconds expected(const std::string &route,
                                                     const std::string &service,
                                                     std::chrono::milliseconds limit,
                                                     SteadyTime now) const;
    [[nodiscard]] std::size_t series() const { return m_series.size(); }

private:
    /// Durations are counted in classes, each longer than the one before by the fourth root of 2:
    /// from 4 ms to 4 minutes.
    static constexpr std::size_t Classes = 64;
    static constexpr double ShortestMs = 4;
    static constexpr double ClassesPerDoubling = 4;
    /// Part of the measured requests that may take longer than the prediction.
    static constexpr double LongerShare = 0.005;
    /// After this many requests, earlier ones count half.
    static constexpr int HalvedAfter = 512;

    struct Series
    {
        std::array<float, Classes> counts {};
        int measured = 0;
        int sinceHalved = 0;
        SteadyTime firstBegan;
        SteadyTime lastMeasured;
    };
    using Key = std::pair<std::string, std::string>;

    [[nodiscard]] static std::size_t classOf(SteadyTime::duration took);
    [[nodiscard]] static std::chrono::milliseconds longestOf(std::size_t at);
    static void count(Series &series, SteadyTime::duration took);
    void dropOldest();

    std::map<Key, Series> m_series;
};

} // namespace snipestall::serving
