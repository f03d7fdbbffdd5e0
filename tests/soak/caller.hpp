#pragma once

#include "soak/attempt.hpp"

#include "snipestall/wire/task.hpp"

#include <vector>

namespace snipestall::soak {

/// Sends requests until it is stopped and records what it received.
class Caller
{
public:
    virtual ~Caller() = default;

    virtual wire::Task<void> run() = 0;
    virtual void stop() = 0;
    [[nodiscard]] virtual const std::vector<Attempt> &attempts() const = 0;
};

} // namespace snipestall::soak
