#pragma once

#include "snipestall/base/random.hpp"
#include "snipestall/policy/capacity_table.hpp"
#include "snipestall/policy/command.hpp"
#include "snipestall/policy/crash_table.hpp"
#include "snipestall/policy/departed_servers.hpp"
#include "snipestall/policy/peer_table.hpp"
#include "snipestall/policy/pool.hpp"
#include "snipestall/policy/request.hpp"
#include "snipestall/policy/server.hpp"
#include "snipestall/policy/timer_set.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipestall::settings {
struct EffectiveSettings;
}

namespace snipestall::policy {

/// All tables of the policy. Systems are functions over them; no system keeps state of its own.
///
/// Rows of the hash tables are found by handle, because the iteration order of a hash table differs
/// between runs. Whatever is iterated is an ordered container or is sorted before use.
struct State
{
    State(std::string homeDataCentre, std::uint64_t seed);

    std::string dataCentre;
    Random random;
    Time now;
    std::shared_ptr<const settings::EffectiveSettings> settings;
    bool leaving = false;

    std::unordered_map<RequestHandle, Request> requests;
    std::unordered_map<ServerHandle, Server> servers;
    std::map<std::string, Pool, std::less<>> pools;
    PeerTable peers;
    DepartedServers departed;
    CrashTable crashes;
    CapacityTable capacity;

    /// Queued requests, by the time at which they are given up.
    TimerSet<RequestHandle> giveUps;
    /// Delayed requests, by the end of their backoff.
    TimerSet<RequestHandle> backoffs;
    /// Slots kept occupied after fast failures, by the time at which they are free again.
    TimerSet<ServerHandle> penalties;
    /// Servers under notice, by the time at which half of the notice has passed.
    TimerSet<ServerHandle> notices;
    /// Time at which servers are next compared.
    Time nextReview;
    /// Pools whose queue or free slots changed in this step.
    std::set<std::string, std::less<>> changedPools;

    std::uint64_t lastAttempt = 0;
    std::vector<Command> *commands = nullptr;

    [[nodiscard]] Request *findRequest(RequestHandle handle);
    /// The request whose running attempt is `attempt`; null for an attempt that was replaced.
    [[nodiscard]] Request *findAttempt(RequestHandle handle, AttemptHandle attempt);
    [[nodiscard]] Server *findServer(ServerHandle handle);
    [[nodiscard]] Pool &pool(std::string_view service);
    [[nodiscard]] Flow &flow(Pool &pool, std::string_view customer);
    [[nodiscard]] AttemptHandle newAttempt();

    void emit(Command command) { commands->push_back(std::move(command)); }
    void markChanged(const Pool &pool) { changedPools.insert(pool.service); }
    /// `base` multiplied by a random factor in [1, 1.5), so that callers refused with the same time
    /// don't return as one burst.
    [[nodiscard]] Duration jittered(Duration base);
};

} // namespace snipestall::policy
