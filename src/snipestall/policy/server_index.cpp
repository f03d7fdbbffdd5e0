#include "snipestall/policy/server_index.hpp"

#include "snipestall/policy/server.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <tuple>

namespace snipestall::policy {
namespace {

constexpr std::uint32_t FullLoad = 65536;

/// Load: a pool of mixed classes with work of mixed length. Weighs the expected time lost to a
/// reclaim (hazard x what would be recomputed) against load: losing one second in a hundred to
/// reclaims counts as much as a server that is a fifth fuller. Higher, and the safe classes are
/// overloaded while reclaimable ones idle.
constexpr double LossWeight = 20.0;

/// Load: reclaims that come in waves, class by class. While one lasts, its class is taken for a
/// quarter fuller than it is: what moves off a server under notice should not have to move again,
/// but a class that is far emptier still gets work.
constexpr double WavePenalty = 0.25;
constexpr Duration WaveTime = std::chrono::seconds(30);

constexpr double SecondsPerHour = 3600.0;

std::uint32_t loadOf(const Server &server)
{
    return (server.occupied() + 1) * FullLoad / server.allowed();
}

ServerIndex::Totals totalsOf(const Server &server)
{
    if (!server.usable())
        return {};
    return { 1, server.allowed(), server.freeSlots(), server.runningOther, server.runningPatient };
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
    m_totals.runningOther += entry.totals.runningOther;
    m_totals.runningPatient += entry.totals.runningPatient;
    if (entry.totals.free == 0)
        return;
    entry.group = &m_groups[{ server.dataCentre, server.instanceClass }];
    entry.place = { loadOf(server), server.handle, &server };
    entry.group->free.insert(entry.place);
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
    m_totals.runningOther -= entry.totals.runningOther;
    m_totals.runningPatient -= entry.totals.runningPatient;
    entry.totals = {};
    if (entry.group)
        entry.group->free.erase(entry.place);
    entry.group = nullptr;
}

void ServerIndex::configure(const std::vector<settings::ClassSettings> &classes)
{
    for (const settings::ClassSettings &facts : classes) {
        ClassGroup &group = m_groups[{ facts.dataCentre, facts.name }];
        group.pricePerHour = facts.pricePerHour;
        group.reclaimsPerHour = facts.reclaimable ? facts.reclaimsPerHour : 0.0;
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

std::vector<Server *> ServerIndex::best(Time now, double lossSeconds, std::size_t most) const
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
    servers.reserve(most);
    for (const auto &[groupScore, group] : groups) {
        for (const LoadedServer &place : group->free) {
            if (servers.size() == most)
                return servers;
            servers.push_back(place.server);
        }
    }
    return servers;
}

void ServerIndex::noteReclaim(Time now, const Server &server)
{
    m_groups[{ server.dataCentre, server.instanceClass }].waveEnds = now + WaveTime;
}

double ServerIndex::score(const ClassGroup &group, Time now, double lossSeconds)
{
    const double load = static_cast<double>(group.free.begin()->load) / FullLoad;
    const double lossShare = group.reclaimsPerHour * lossSeconds / SecondsPerHour;
    const double wave = now < group.waveEnds ? WavePenalty : 0.0;
    return load + LossWeight * lossShare + wave;
}

} // namespace snipestall::policy
