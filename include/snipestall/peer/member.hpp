#pragma once

#include "snipestall/peer/pool_load.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::peer {

/// State of an instance as another instance sees it.
enum class MemberState {
    /// Named by the settings or the platform, but no heartbeat has been received yet.
    Known,
    Live,
    /// This instance has received no heartbeat from it for longer than the term.
    Suspected,
    /// The instance itself or the platform has announced that it is leaving. Never reverted for the
    /// same incarnation.
    Leaving,
};

/// What this instance knows of another one.
struct Member
{
    std::string name;
    std::string dataCentre;
    /// Address at which it listens for peers, IP:PORT.
    std::string address;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Known;
    std::chrono::steady_clock::time_point lastHeartbeat;
    std::uint64_t settingsVersion = 0;
    std::vector<PoolLoad> pools;
};

} // namespace snipestall::peer
