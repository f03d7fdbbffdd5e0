#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/wire/endpoint.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace snipestall::serving {

/// One incarnation of a backend server, as the server describes itself.
struct BackendServer
{
    /// The same for all incarnations of a server; `startedAt` tells them apart.
    std::string id;
    /// When this incarnation started; of two incarnations with the same id, the later one is the
    /// newer. The epoch of the clock if the server does not report it.
    WallTime startedAt;
    std::string service;
    wire::Endpoint address;
    std::string dataCentre;
    /// Version of the server's software; empty if the server does not report it.
    std::string version;
    int slots = 1;
    bool leaving = false;
    /// Whether the data centre may reclaim the server at short notice.
    bool reclaimable = false;
    /// Remaining time until the server is stopped; set only for a server that is being reclaimed.
    std::optional<std::chrono::milliseconds> leavesIn;
};

} // namespace snipestall::serving
