#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/wire/task.hpp"

#include <cstdint>
#include <string>

namespace snipestall::platform {

/// An order to start an instance, with the fencing token of the steward that gives it.
struct StartOrder
{
    /// Order id, chosen by the steward; the same id never starts a second instance.
    std::string orderId;
    /// Fencing token of the steward's lease; the cloud refuses one below the greatest that it has
    /// received.
    std::uint64_t fencingToken = 0;
    std::string service;
    std::string dataCentre;
    std::string instanceClass;
};

/// The platform's interface for starting and releasing instances. Both calls fail with Conflict if
/// the platform has received a greater fencing token.
class CloudApi
{
public:
    virtual ~CloudApi() = default;

    /// Returns the name of the started instance; fails with Exhausted if the cloud refuses the
    /// start for now.
    virtual wire::Task<Result<std::string>> start(StartOrder order) = 0;
    virtual wire::Task<Result<void>> release(std::string instance, std::uint64_t fencingToken) = 0;
};

} // namespace snipestall::platform
