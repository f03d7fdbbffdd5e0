#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/wire/task.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace snipestall::platform {
class StoreClient;
}

namespace snipestall::serving {
class Catalogue;
struct RegisteredVersion;
} // namespace snipestall::serving

namespace snipestall::gateway {

struct GatewayState;

/// Keeps the row of the store that says which software versions may begin streams: reads it when
/// the process starts, and registers versions that are listed for the first time.
class VersionRegistrar
{
public:
    struct Hooks
    {
        /// Whether this instance reads the list of servers from the store, and so is among the
        /// first to see a new version.
        std::function<bool()> readsList;
        /// Whether this instance acts on behalf of all instances.
        std::function<bool()> holdsLease;
    };

    VersionRegistrar(GatewayState &state, platform::StoreClient &store, Hooks hooks);

    /// Does what is due. To be called every few tens of milliseconds, once at a time.
    wire::Task<void> tick();
    /// Reads the row unless a read that began at `since` or later has ended. Returns false if the
    /// store has not answered within `timeout`.
    wire::Task<bool> readSince(SteadyTime since, std::chrono::milliseconds timeout);

private:
    wire::Task<bool> read(std::chrono::milliseconds timeout);
    /// Reads the row and writes what it lacks. `maintains`: removes versions that are long gone.
    wire::Task<void> update(bool maintains);
    wire::Task<void> write(std::vector<serving::RegisteredVersion> versions);
    /// Whether the list may contain versions that it did not before.
    [[nodiscard]] bool mustLook(SteadyTime now);

    GatewayState &m_state;
    platform::StoreClient &m_store;
    Hooks m_hooks;
    /// Version of the row; 0 if there is none.
    std::int64_t m_rowVersion = 0;
    bool m_reading = false;
    /// State of the list and the configuration at the last look.
    SteadyTime m_serverAddedAt;
    std::shared_ptr<const serving::Catalogue> m_catalogue;
    std::size_t m_orders = 0;
    SteadyTime m_lookAt;
    /// Set while the row has to be changed.
    std::optional<SteadyTime> m_updateAt;
    SteadyTime m_maintainAt;
    SteadyTime m_refreshAt;
};

} // namespace snipestall::gateway
