#pragma once

#include "snipestall/base/log.hpp"
#include "snipestall/settings/fault.hpp"
#include "snipestall/wire/endpoint.hpp"

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::entry {

/// Another instance to begin with; more are learned from the platform's list and from heartbeats.
struct Seed
{
    std::string instance;
    std::string dataCentre;
    wire::Endpoint address;
};

/// What one process must know before it can hear the settings tree: its own name, place and
/// addresses. Read from the file given with --settings.
struct LocalSettings
{
    std::string instance;
    std::string dataCentre;
    wire::Endpoint callers;
    wire::Endpoint operators;
    /// SHA-256 of the key that may make the first change, while there are no settings.
    std::string bootstrapKeyHash;
    wire::Endpoint peers;
    wire::Endpoint peersAdvertise;
    std::vector<Seed> seeds;
    wire::Endpoint platform;
    LogFormat logFormat = LogFormat::Text;
    Severity logLevel = Severity::Info;

    /// Every fault in one go.
    static tl::expected<LocalSettings, std::vector<settings::Fault>> parse(std::string_view yaml);
};

} // namespace snipestall::entry
