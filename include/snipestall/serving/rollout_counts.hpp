#pragma once

#include "snipestall/serving/fleet_totals.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace snipestall::serving {

/// Frequencies of measured values by size, in bins whose bounds grow by a constant factor.
class LogHistogram
{
public:
    /// Bins per doubling.
    static constexpr int BinsPerDoubling = 2;

    static int binOf(double value);
    void add(int bin, double count) { m_bins[bin] += count; }
    void scale(double factor);
    [[nodiscard]] double total() const;
    /// Number of values in this bin and above.
    [[nodiscard]] double from(int bin) const;
    [[nodiscard]] int medianBin() const;
    [[nodiscard]] const std::map<int, double> &bins() const { return m_bins; }

private:
    std::map<int, double> m_bins;
};

/// Answers of one version's servers on one route.
struct VersionCounts
{
    double answers = 0;
    double failures = 0;
    /// Time to the first byte, for generations in relation to the size of the prompt.
    LogHistogram latency;
    /// Pause between the events of a stream.
    LogHistogram pause;
};

/// What all instances have counted of one order on one route since it was given.
struct RouteCounts
{
    /// Requests for the service.
    double arrived = 0;
    /// Sends to servers of the new version.
    double exposed = 0;
    VersionCounts oldVersion;
    VersionCounts newVersion;
};

using RolloutCounts = std::map<std::string, RouteCounts>;

/// Counts the answers of both versions while an order is active. Totals are named by order,
/// version, kind of count and route.
class RolloutCounter
{
public:
    explicit RolloutCounter(FleetTotals &totals)
        : m_totals(totals)
    { }

    void requestArrived(std::int64_t order, const std::string &route);
    void sentToNewVersion(std::int64_t order, const std::string &route);
    void answered(std::int64_t order, const std::string &route, bool isNew, bool failed);
    /// `value` is the latency in any unit that is the same for both versions.
    void latency(std::int64_t order, const std::string &route, bool isNew, double value);
    void pause(std::int64_t order, const std::string &route, bool isNew, double value);
    /// Drops the counts of an order.
    void forget(std::int64_t order);
    /// The counts of an order over all instances.
    [[nodiscard]] RolloutCounts counts(std::int64_t order) const;

private:
    FleetTotals &m_totals;
};

} // namespace snipestall::serving
