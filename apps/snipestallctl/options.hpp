#pragma once

#include "snipestall/wire/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::ctl {

enum class OutputFormat {
    Table,
    Json,
    Yaml,
};

/// The values of the flags, checked.
struct Options
{
    std::vector<wire::Endpoint> servers;
    std::string key;
    OutputFormat output = OutputFormat::Table;
    std::string reason;
    std::string file;
    /// The version that the change is based on; the newest if absent.
    std::optional<std::uint64_t> baseVersion;
    /// The id of an earlier change whose outcome is unknown, to repeat it; empty for a new change.
    std::string changeId;
    /// Whether to return only when every server in `servers` has the change in force.
    bool wait = false;
    /// How long `wait` waits: a change is in force everywhere within this time.
    std::chrono::milliseconds inForceWithin { 9000 };
    /// Whether a rollback restores the old version's operators and keys too.
    bool withKeys = false;
    /// Whether to show the values in force instead of the settings as written.
    bool effective = false;
    /// The version to show; the newest if absent.
    std::optional<std::uint64_t> atVersion;
    std::string dataCentre;
    std::string customer;
    std::string service;
    std::string since;
    std::string path;
    std::string who;
    std::uint64_t limit = 50;
    bool help = false;
};

} // namespace snipestall::ctl
