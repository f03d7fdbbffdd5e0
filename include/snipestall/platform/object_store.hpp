#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/wire/task.hpp"

#include <string>

namespace snipestall::platform {

/// The platform's object store. Objects are written and read as a whole, by name.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    virtual wire::Task<Result<void>> put(std::string name, std::string bytes) = 0;
    /// Fails with NotFound if there is no such object.
    virtual wire::Task<Result<std::string>> get(std::string name) = 0;
};

} // namespace snipestall::platform
