#pragma once

#include "snipestall/policy/handles.hpp"

#include <cstdint>
#include <string>

namespace snipestall::policy::baselines {

/// What a baseline knows of one backend server.
struct BaselineServer
{
    ServerHandle handle;
    std::string service;
    /// By its last report, whenever that was.
    std::uint32_t reportedLoad = 0;
    /// Sent by this instance since that report.
    std::uint32_t sentSinceReport = 0;
};

} // namespace snipestall::policy::baselines
