#pragma once

#include "bench/baselines/baseline_server.hpp"

#include <span>

namespace snipestall::policy {
struct RequestArrived;
}

namespace snipestall::policy::baselines {

/// How a baseline picks the backend server for a request.
class ServerChoice
{
public:
    virtual ~ServerChoice() = default;

    /// Index into `servers`, which is never empty.
    virtual std::size_t choose(const RequestArrived &request,
                               std::span<const BaselineServer *const> servers) = 0;
};

} // namespace snipestall::policy::baselines
