#pragma once

#include "bench/baselines/baseline_server.hpp"

#include <span>

namespace snipestall::policy {
struct RequestArrived;
}

namespace snipestall::policy::baselines {

/// The strategy by which a baseline chooses the backend server for a request.
class ServerChoice
{
public:
    virtual ~ServerChoice() = default;

    /// Returns an index into `servers`, which is never empty.
    virtual std::size_t choose(const RequestArrived &request,
                               std::span<const BaselineServer *const> servers) = 0;
};

} // namespace snipestall::policy::baselines
