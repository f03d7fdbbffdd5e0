#pragma once

#include "snipestall/platform/listed_instance.hpp"
#include "snipestall/policy/handles.hpp"
#include "snipestall/wire/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::entry {

/// State of one incarnation of a backend server, as known to this instance.
struct Backend
{
    platform::ListedInstance listed;
    wire::Endpoint endpoint;
    policy::ServerHandle handle;
    /// This instance is the only one that dispatches to the server.
    bool owned = false;
    /// The server has been reported to the policy and may receive work.
    bool up = false;
    /// The server has announced that it will stop; it gets no new work.
    bool leaving = false;
    std::uint32_t slots = 0;
    std::vector<std::string> models;
    /// Consecutive failed polls.
    int failedPolls = 0;
    /// A poll is in progress.
    bool polling = false;
};

} // namespace snipestall::entry
