#pragma once

#include "snipestall/peer/pool_load.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::peer {

enum class MemberState {
    /// Named by the settings or the platform, never heard.
    Known,
    Live,
    /// Silent for longer than its term, as seen from here.
    Suspected,
    /// It said so, or the platform did: sticky for this incarnation.
    Leaving,
};

/// One instance as this one sees it.
struct Member
{
    std::string name;
    std::string dataCentre;
    /// Where it listens for peers, IP:PORT.
    std::string address;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Known;
    std::chrono::steady_clock::time_point lastHeard;
    std::uint64_t settingsVersion = 0;
    std::vector<PoolLoad> pools;
};

} // namespace snipestall::peer
