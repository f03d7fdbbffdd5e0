#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::admin {

/// State of a peer as this instance last observed it.
struct PeerStatus
{
    std::string name;
    std::string dataCentre;
    /// "known" (has never reported), "up", "suspected" or "leaving".
    std::string state;
    std::uint64_t settingsVersion = 0;
    /// Time since the peer last reported; 0 if it has never reported.
    std::chrono::milliseconds sinceLastReport { 0 };
};

/// A backend server that this instance owns.
struct BackendServerStatus
{
    std::string name;
    std::string service;
    std::string instanceClass;
    /// "up", "leaving", "ejected" or "lost".
    std::string state;
    std::uint32_t slots = 0;
    /// Slots in use.
    std::uint32_t running = 0;
};

/// The accepted requests of one service on this instance.
struct QueueStatus
{
    std::string service;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    /// Time for which the oldest of the waiting requests has waited.
    std::chrono::milliseconds oldestWait { 0 };
};

/// Snapshot of the state of one instance.
struct InstanceStatus
{
    std::string instance;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    /// Time since the process started.
    std::chrono::milliseconds uptime { 0 };
    bool draining = false;
    bool platformReachable = true;
    /// Whether this instance is its data centre's steward, which orders starts and releases.
    bool isSteward = false;
    /// Version of the settings in force on this instance; 0 while there are none.
    std::uint64_t settingsVersion = 0;
    std::vector<PeerStatus> peers;
    std::vector<BackendServerStatus> backendServers;
    std::vector<QueueStatus> queues;
};

} // namespace snipestall::admin
