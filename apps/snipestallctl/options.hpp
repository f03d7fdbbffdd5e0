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

/// What the flags say, checked.
struct Options
{
    std::vector<wire::Endpoint> servers;
    std::string key;
    OutputFormat output = OutputFormat::Table;
    std::string reason;
    std::string file;
    /// The version that the change is made against; the newest if absent.
    std::optional<std::uint64_t> baseVersion;
    /// Repeats an earlier change whose outcome is unknown.
    std::string changeId;
    /// Come back only when every server named has the change in force.
    bool wait = false;
    /// Changes are in force everywhere within this time.
    std::chrono::milliseconds inForceWithin { 9000 };
    /// A rollback takes the old version's keys too.
    bool withKeys = false;
    bool effective = false;
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
