#pragma once

#include "snipestall/platform/listed_instance.hpp"
#include "snipestall/policy/handles.hpp"
#include "snipestall/wire/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::entry {

/// One incarnation of a backend server, as this instance knows it.
struct Backend
{
    platform::ListedInstance listed;
    wire::Endpoint endpoint;
    policy::ServerHandle handle;
    /// This instance alone dispatches to it.
    bool owned = false;
    /// It was told to the policy and may be given work.
    bool up = false;
    bool leaving = false;
    std::uint32_t slots = 0;
    std::vector<std::string> models;
    int failedPolls = 0;
    bool polling = false;
};

} // namespace snipestall::entry
