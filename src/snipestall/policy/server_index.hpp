#pragma once

#include "snipestall/policy/handles.hpp"
#include "snipestall/policy/time.hpp"
#include "snipestall/settings/class_settings.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace snipestall::policy {

struct Server;

/// Index of the free slots of one pool, by instance class and load. It finds a slot in O(classes x
/// log servers), whatever the size of the pool.
class ServerIndex
{
public:
    struct Totals
    {
        std::uint32_t servers = 0;
        std::uint32_t slots = 0;
        std::uint32_t free = 0;
        std::uint32_t runningNonUrgent = 0;
        std::uint32_t runningPatient = 0;
    };

    /// Indexes the server's present state; must be called after each change of it.
    void update(Server &server);
    void erase(const Server &server);

    /// Applies the prices and reclaim rates of the instance classes.
    void configure(const std::vector<settings::ClassSettings> &classes);

    /// The least loaded server with a free slot. For work whose loss would cost `lossSeconds` of
    /// recomputing, the reclaim rate of the class counts too. Null when no slot is free.
    [[nodiscard]] Server *pick(Time now, double lossSeconds) const;

    /// The first `maxResults` servers in that order, the servers of the best class first.
    [[nodiscard]] std::vector<Server *> best(Time now, double lossSeconds,
                                             std::size_t maxResults) const;

    /// Records that a server of this class got notice: more servers of the class may follow within
    /// moments.
    void recordReclaim(Time now, const Server &server);

    [[nodiscard]] const Totals &totals() const { return m_totals; }

private:
    using ClassName = std::pair<std::string, std::string>;

    struct LoadedServer
    {
        /// Share of the limit in use once one more request runs, in units of 1/65536.
        std::uint32_t load = 0;
        ServerHandle handle;
        Server *server = nullptr;

        bool operator<(const LoadedServer &other) const;
    };

    struct ClassGroup
    {
        double pricePerHour = 1.0;
        double reclaimsPerHour = 0;
        /// Time until which a wave of reclaims is assumed to last.
        Time waveEnds;
        std::set<LoadedServer> free;
    };

    struct Entry
    {
        Totals totals;
        ClassGroup *group = nullptr;
        LoadedServer position;
    };

    void withdraw(Entry &entry);
    [[nodiscard]] static double score(const ClassGroup &group, Time now, double lossSeconds);

    std::map<ClassName, ClassGroup> m_groups;
    std::unordered_map<ServerHandle, Entry> m_entries;
    Totals m_totals;
};

} // namespace snipestall::policy
