#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/wire/task.hpp"

#include <cstdint>
#include <functional>
#include <optional>

namespace snipestall::platform {
class StoreClient;
}

namespace snipestall::gateway {

struct GatewayState;

/// Keeps the row of the store that lists the blocked parts of prompts: reads it when the process
/// starts, adds what is blocked, removes what is allowed again, and registers a part's trial before
/// it is made.
///
/// Failure it guards against: all instances are killed at once, and a part that crashes servers is
/// blocked only after it has crashed some more of them, after each kill.
class BlockedPartRegistrar
{
public:
    /// `readsList`: whether this instance reads the store for others, and so writes first.
    BlockedPartRegistrar(GatewayState &state, platform::StoreClient &store,
                         std::function<bool()> readsList);

    /// Does what is due. To be called every few tens of milliseconds, once at a time.
    wire::Task<void> tick();

private:
    wire::Task<bool> read();
    wire::Task<void> update();
    void logChanges();

    GatewayState &m_state;
    platform::StoreClient &m_store;
    std::function<bool()> m_readsList;
    /// Version of the row; 0 if there is none.
    std::int64_t m_rowVersion = 0;
    bool m_read = false;
    /// Set while the row has to be changed.
    std::optional<SteadyTime> m_updateAt;
    SteadyTime m_readAgainAt;
};

} // namespace snipestall::gateway
