#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/wire/endpoint.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace snipestall::serving {

/// One incarnation of a backend server as it describes itself.
struct BackendServer
{
    /// May be that of an earlier incarnation, which had another `born`.
    std::string id;
    /// When this incarnation started; of two with one id the later one is the newer. The clock's
    /// zero if the server does not say.
    WallTime born;
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
