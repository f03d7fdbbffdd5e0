#pragma once

#include "snipestall/wire/endpoint.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace snipestall::serving {

/// One incarnation of a backend server as it describes itself.
struct BackendServer
{
    /// New at each start; an id that has left never comes back.
    std::string id;
    std::string service;
    wire::Endpoint address;
    std::string dataCentre;
    int slots = 1;
    bool leaving = false;
    /// Whether the data centre may take it back at short notice.
    bool reclaimable = false;
    /// Known only for a server that is being reclaimed: how long it still runs.
    std::optional<std::chrono::milliseconds> leavesIn;
};

} // namespace snipestall::serving
