#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/wire/task.hpp"

namespace snipestall::gateway {

struct GatewayState;

/// Finds out whether this instance reaches any backend server when it is suspected that it does
/// not, and again and again while it does not. Opens connections to servers and sends nothing on
/// them.
class ReachProber
{
public:
    explicit ReachProber(GatewayState &state)
        : m_state(state)
    { }

    /// Returns whether it is to be found out now.
    [[nodiscard]] bool isDue();
    /// Finds out. To be called if that is due, once at a time.
    wire::Task<void> probe();

private:
    /// Returns whether one of a few servers accepts a connection.
    wire::Task<bool> anyServerAccepts();
    void handleCutOff();
    void handleReached();

    GatewayState &m_state;
    SteadyTime m_nextProbe;
};

} // namespace snipestall::gateway
