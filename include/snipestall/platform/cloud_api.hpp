#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/wire/task.hpp"

#include <cstdint>
#include <string>

namespace snipestall::platform {

/// What to start, with the steward's proof that it may.
struct StartOrder
{
    /// Chosen by the orderer; the same id never starts a second instance.
    std::string order;
    std::uint64_t fencing = 0;
    std::string service;
    std::string dataCentre;
    std::string instanceClass;
};

/// The cloud's starts and releases of instances.
class CloudApi
{
public:
    virtual ~CloudApi() = default;

    /// Name of the instance; Exhausted if the cloud refuses the start.
    virtual wire::Task<Result<std::string>> start(StartOrder order) = 0;
    virtual wire::Task<Result<void>> release(std::string instance, std::uint64_t fencing) = 0;
};

} // namespace snipestall::platform
