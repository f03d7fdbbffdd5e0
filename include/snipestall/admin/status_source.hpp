#pragma once

#include "snipestall/admin/instance_status.hpp"

namespace snipestall::admin {

/// Source of the status that the operators' API reports; implemented by the daemon. status() is
/// called on the event loop's thread, so it must not block.
class StatusSource
{
public:
    virtual ~StatusSource() = default;

    [[nodiscard]] virtual InstanceStatus status() const = 0;
};

} // namespace snipestall::admin
