#pragma once

#include "snipestall/policy/handles.hpp"

#include <cstdint>
#include <string>

namespace snipestall::policy::baselines {

/// What a baseline knows about one backend server.
struct BaselineServer
{
    ServerHandle handle;
    std::string service;
    /// Running and queued requests by the last report, which may be old.
    std::uint32_t reportedLoad = 0;
    /// Requests that this instance has sent to the server since that report.
    std::uint32_t sentSinceReport = 0;
};

} // namespace snipestall::policy::baselines
