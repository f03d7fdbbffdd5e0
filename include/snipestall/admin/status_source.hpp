#pragma once

#include "snipestall/admin/instance_status.hpp"

namespace snipestall::admin {

/// Implemented by the daemon; called on the loop's own thread, so it must not block.
class StatusSource
{
public:
    virtual ~StatusSource() = default;

    [[nodiscard]] virtual InstanceStatus status() const = 0;
};

} // namespace snipestall::admin
