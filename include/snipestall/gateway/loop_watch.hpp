#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/wire/task.hpp"

namespace snipestall::gateway {

struct GatewayState;

/// Keeps `GatewayState::loopLag` up to date and logs when the I/O loop runs late.
class LoopWatch
{
public:
    explicit LoopWatch(GatewayState &state);

    void start();

private:
    wire::Task<void> tick();
    void report(SteadyTime now);

    GatewayState &m_state;
    SteadyTime m_nextReport;
};

} // namespace snipestall::gateway
