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

/// Another instance to contact at startup. Further instances are learned from the platform's list
/// and from heartbeats.
struct Seed
{
    std::string instance;
    std::string dataCentre;
    wire::Endpoint address;
};

/// Settings that a process needs before it can receive the settings tree: its own name, data centre
/// and addresses. Read from the file given with --settings.
struct LocalSettings
{
    std::string instance;
    std::string dataCentre;
    wire::Endpoint callers;
    wire::Endpoint operators;
    /// SHA-256, in hex, of the key that authorises the first change while there are no settings.
    std::string bootstrapKeyHash;
    wire::Endpoint peers;
    /// Address that peers use to reach this instance; `peers` if not set.
    wire::Endpoint peersAdvertise;
    std::vector<Seed> seeds;
    wire::Endpoint platform;
    LogFormat logFormat = LogFormat::Text;
    Severity logLevel = Severity::Info;

    /// Returns all faults of the document at once, not only the first.
    static tl::expected<LocalSettings, std::vector<settings::Fault>> parse(std::string_view yaml);
};

} // namespace snipestall::entry
