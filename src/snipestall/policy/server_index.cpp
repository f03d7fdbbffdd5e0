#include "snipestall/policy/server_index.hpp"

#include "snipestall/policy/server.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <tuple>

namespace snipestall::policy {
namespace {

constexpr std::uint32_t FullLoad = 65536;

/// Weighs the expected time lost to a reclaim (reclaim rate x time to recompute) against load, for
/// pools of mixed classes with work of mixed length: losing one second in a hundred to reclaims
/// counts as much as a server that is a fifth fuller. With a higher weight the safe classes are
/// overloaded while reclaimable ones idle.
constexpr double LossWeight = 20.0;

/// Reclaims come in waves, class by class. During a wave, servers of its class count as a quarter
/// fuller than they are: a stream that moves off a server under notice should not have to move
/// again, but a class that is far emptier still gets work.
constexpr double WavePenalty = 0.25;
constexpr Duration WaveDuration = std::chrono::seconds(30);

constexpr double SecondsPerHour = 3600.0;

std::uint32_t loadOf(const Server &server)
{
    return (server.occupied() + 1) * FullLoad / server.effectiveLimit();
}

ServerIndex::Totals totalsOf(const Server &server)
{
    if (!server.usable())
        return {};
    return { 1, server.effectiveLimit(), server.freeSlots(), server.runningNonUrgent,
             server.runningPatient };
}

} // namespace

bool ServerIndex::LoadedServer::operator<(const LoadedServer &other) const
{
    return std::tie(load, handle) < std::tie(other.load, other.handle);
}

void ServerIndex::update(Server &server)
{
    Entry &entry = m_entries[server.handle];
    withdraw(entry);
    entry.totals = totalsOf(server);
    m_totals.servers += entry.totals.servers;
    m_totals.slots += entry.totals.slots;
    m_totals.free += entry.totals.free;
    m_totals.runningNonUrgent += entry.totals.runningNonUrgent;
    m_totals.runningPatient += entry.totals.runningPatient;
    if (entry.totals.free == 0)
        return;
    entry.group = &m_groups[{ server.dataCentre, server.instanceClass }];
    entry.position = { loadOf(server), server.handle, &server };
    entry.group->free.insert(entry.position);
}

void ServerIndex::erase(const Server &server)
{
    const auto it = m_entries.find(server.handle);
    if (it == m_entries.end())
        return;
    withdraw(it->second);
    m_entries.erase(it);
}

void ServerIndex::withdraw(Entry &entry)
{
    m_totals.servers -= entry.totals.servers;
    m_totals.slots -= entry.totals.slots;
    m_totals.free -= entry.totals.free;
    m_totals.runningNonUrgent -= entry.totals.runningNonUrgent;
    m_totals.runningPatient -= entry.totals.runningPatient;
    entry.totals = {};
    if (entry.group)
        entry.group->free.erase(entry.position);
    entry.group = nullptr;
}

void ServerIndex::configure(const std::vector<settings::ClassSettings> &classes)
{
    for (const settings::ClassSettings &classSettings : classes) {
        ClassGroup &group = m_groups[{ classSettings.dataCentre, classSettings.name }];
        group.pricePerHour = classSettings.pricePerHour;
        group.reclaimsPerHour = classSettings.reclaimable ? classSettings.reclaimsPerHour : 0.0;
    }
}

Server *ServerIndex::pick(Time now, double lossSeconds) const
{
    Server *best = nullptr;
    double bestScore = std::numeric_limits<double>::max();
    for (const auto &[name, group] : m_groups) {
        if (group.free.empty())
            continue;
        const double candidate = score(group, now, lossSeconds);
        if (candidate >= bestScore)
            continue;
        bestScore = candidate;
        best = group.free.begin()->server;
    }
    return best;
}

std::vector<Server *> ServerIndex::best(Time now, double lossSeconds, std::size_t maxResults) const
{
    std::vector<std::pair<double, const ClassGroup *>> groups;
    groups.reserve(m_groups.size());
    for (const auto &[name, group] : m_groups) {
        if (!group.free.empty())
            groups.emplace_back(score(group, now, lossSeconds), &group);
    }
    const auto byScore = [](const auto &a, const auto &b) { return a.first < b.first; };
    std::stable_sort(groups.begin(), groups.end(), byScore);
    std::vector<Server *> servers;
    servers.reserve(maxResults);
    for (const auto &[groupScore, group] : groups) {
        for (const LoadedServer &position : group->free) {
            if (servers.size() == maxResults)
                return servers;
            servers.push_back(position.server);
        }
    }
    return servers;
}

void ServerIndex::recordReclaim(Time now, const Server &server)
{
    m_groups[{ server.dataCentre, server.instanceClass }].waveEnds = now + WaveDuration;
}

double ServerIndex::score(const ClassGroup &group, Time now, double lossSeconds)
{
    const double load = static_cast<double>(group.free.begin()->load) / FullLoad;
    const double lossShare = group.reclaimsPerHour * lossSeconds / SecondsPerHour;
    const double wave = now < group.waveEnds ? WavePenalty : 0.0;
    return load + LossWeight * lossShare + wave;
}

} // namespace snipestall::policy
