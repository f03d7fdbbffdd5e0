#include "snipestall/serving/rollout_counts.hpp"

#include <cmath>
#include <cstdlib>

namespace snipestall::serving {

namespace {

/// Kinds of counts, as they are named in totals.
constexpr char Arrived = 'a';
constexpr char Exposed = 'e';
constexpr char Answered = 'k';
constexpr char Failed = 'f';
constexpr char Latency = 'l';
constexpr char Pause = 'p';
constexpr char OldVersion = 'o';
constexpr char NewVersion = 'n';
constexpr char Separator = '/';

std::string prefixOf(std::int64_t order)
{
    return std::to_string(order) + Separator;
}

/// "order/version/kind[bin]/route"; the route is last because it may contain the separator.
std::string nameOf(std::int64_t order, bool isNew, char kind, const std::string &bin,
                   const std::string &route)
{
    std::string name = prefixOf(order);
    name += isNew ? NewVersion : OldVersion;
    name += Separator;
    name += kind;
    name += bin;
    name += Separator;
    return name + route;
}

std::string nameOf(std::int64_t order, bool isNew, char kind, const std::string &route)
{
    return nameOf(order, isNew, kind, std::string(), route);
}

void addCount(char kind, int bin, double value, bool isNew, RouteCounts &route)
{
    VersionCounts &version = isNew ? route.newVersion : route.oldVersion;
    if (kind == Arrived)
        route.arrived += value;
    else if (kind == Exposed)
        route.exposed += value;
    else if (kind == Answered)
        version.answers += value;
    else if (kind == Failed)
        version.failures += value;
    else if (kind == Latency)
        version.latency.add(bin, value);
    else if (kind == Pause)
        version.pause.add(bin, value);
}

} // namespace

int LogHistogram::binOf(double value)
{
    constexpr double Smallest = 1e-6;
    return static_cast<int>(std::floor(BinsPerDoubling * std::log2(std::max(value, Smallest))));
}

void LogHistogram::scale(double factor)
{
    for (auto &[bin, count] : m_bins)
        count *= factor;
}

double LogHistogram::total() const
{
    double sum = 0;
    for (const auto &[bin, count] : m_bins)
        sum += count;
    return sum;
}

double LogHistogram::from(int bin) const
{
    double sum = 0;
    for (auto at = m_bins.lower_bound(bin); at != m_bins.end(); ++at)
        sum += at->second;
    return sum;
}

int LogHistogram::medianBin() const
{
    const double half = total() / 2;
    double sum = 0;
    for (const auto &[bin, count] : m_bins) {
        sum += count;
        if (sum >= half)
            return bin;
    }
    return 0;
}

void RolloutCounter::requestArrived(std::int64_t order, const std::string &route)
{
    m_totals.add(nameOf(order, false, Arrived, route), 1);
}

void RolloutCounter::sentToNewVersion(std::int64_t order, const std::string &route)
{
    m_totals.add(nameOf(order, true, Exposed, route), 1);
}

void RolloutCounter::answered(std::int64_t order, const std::string &route, bool isNew, bool failed)
{
    m_totals.add(nameOf(order, isNew, Answered, route), 1);
    if (failed)
        m_totals.add(nameOf(order, isNew, Failed, route), 1);
}

void RolloutCounter::latency(std::int64_t order, const std::string &route, bool isNew, double value)
{
    const std::string bin = std::to_string(LogHistogram::binOf(value));
    m_totals.add(nameOf(order, isNew, Latency, bin, route), 1);
}

void RolloutCounter::pause(std::int64_t order, const std::string &route, bool isNew, double value)
{
    const std::string bin = std::to_string(LogHistogram::binOf(value));
    m_totals.add(nameOf(order, isNew, Pause, bin, route), 1);
}

void RolloutCounter::forget(std::int64_t order)
{
    m_totals.erasePrefix(prefixOf(order));
}

RolloutCounts RolloutCounter::counts(std::int64_t order) const
{
    RolloutCounts counts;
    const std::string prefix = prefixOf(order);
    const Totals &all = m_totals.all();
    for (auto at = all.lower_bound(prefix); at != all.end() && at->first.starts_with(prefix);
         ++at) {
        // Peers of another version may send names that this one doesn't know.
        const std::string rest = at->first.substr(prefix.size());
        const std::size_t routeAt = rest.find(Separator, 2);
        if (rest.size() < 4 || rest[1] != Separator || routeAt == std::string::npos)
            continue;
        const int bin = std::atoi(rest.c_str() + 3);
        addCount(rest[2], bin, at->second, rest[0] == NewVersion, counts[rest.substr(routeAt + 1)]);
    }
    return counts;
}

} // namespace snipestall::serving
