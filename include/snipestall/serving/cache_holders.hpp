#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/server_table.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::serving {

/// Tells on which servers a shared part of prompts is cached, without a message between instances.
///
/// Load: servers are reclaimed and others started, dozens at a time, and rendezvous hashing moves
/// many parts to servers that have just started. Harm: each of these reads the parts of thousands
/// of tokens anew, and the prompts behind them are late, although the servers that had the parts
/// still run. Two servers are therefore told apart: the one that is to get prompts with the part,
/// and the one that most likely has it, which is the best one of those that have been running for a
/// while. A server that stops soon gets no prompts, but can still be copied from.
class CacheHolders
{
public:
    /// `part`: the part; `candidates`: the servers that may get the prompt; `all`: all servers of
    /// the service. `time`: the common time of day; without it, all servers count as running for
    /// long.
    CacheHolders(std::uint64_t part, const std::vector<ServerStatePtr> &candidates,
                 const std::vector<ServerStatePtr> &all, std::optional<WallTime> time);

    /// Whether a server has not been running for long enough to have the parts that it gets.
    static bool isNew(const ServerState &server, WallTime time)
    {
        return time - server.info.startedAt < SettledAfter;
    }

    /// The server that gets prompts with the part if nothing else matters; null without candidates.
    [[nodiscard]] const ServerStatePtr &preferred() const { return m_preferred; }
    /// The server that most likely has the part; null without candidates.
    [[nodiscard]] const ServerStatePtr &holder() const { return m_holder; }

private:
    /// Within this time most parts that a server gets have been asked for there.
    static constexpr std::chrono::seconds SettledAfter { 20 };

    ServerStatePtr m_preferred;
    ServerStatePtr m_holder;
};

} // namespace snipestall::serving
