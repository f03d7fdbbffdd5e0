#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::admin {

/// A peer as this instance sees it.
struct PeerStatus
{
    std::string name;
    std::string dataCentre;
    /// "up", "suspected" or "leaving".
    std::string state;
    std::uint64_t settingsVersion = 0;
    std::chrono::milliseconds silentFor { 0 };
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
    std::uint32_t running = 0;
};

/// Accepted requests of one service on this instance.
struct QueueStatus
{
    std::string service;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::chrono::milliseconds oldestWait { 0 };
};

/// What one instance can tell about itself at one moment.
struct InstanceStatus
{
    std::string instance;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds upFor { 0 };
    bool draining = false;
    bool platformReachable = true;
    /// This instance gives the data centre's orders now.
    bool isSteward = false;
    /// In force here; 0 while there is none.
    std::uint64_t settingsVersion = 0;
    std::vector<PeerStatus> peers;
    std::vector<BackendServerStatus> backendServers;
    std::vector<QueueStatus> queues;
};

} // namespace snipestall::admin
