#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/platform/listed_instance.hpp"
#include "snipestall/wire/task.hpp"

#include <string>
#include <vector>

namespace snipestall::platform {

/// The platform's list of live and leaving instances. The list lags behind the actual state, so no
/// decision may depend on it alone.
class InstanceList
{
public:
    virtual ~InstanceList() = default;

    virtual wire::Task<Result<std::vector<ListedInstance>>> list(std::string dataCentre) = 0;
};

} // namespace snipestall::platform
