#pragma once

#include "snipestall/settings/tree.hpp"

#include "command.hpp"
#include "operators_client.hpp"

#include <string>

namespace snipestall::ctl {

/// Creates a client with the servers and the key of the flags.
OperatorsClient clientFor(const Options &options);

/// One version of the settings, as read from a server. Version 0 means that there are no settings
/// yet; it has no tree.
struct SettingsVersion
{
    std::uint64_t version = 0;
    std::string yaml;
    /// False if the platform's table did not answer and an instance returned what it has in force.
    bool fromTable = true;

    /// Parses and checks the YAML; fails with BadInput and the faults.
    [[nodiscard]] Outcome<settings::Tree> tree() const;
};

/// Reads the given version, or the newest if absent.
Outcome<SettingsVersion> readVersion(OperatorsClient &client, std::optional<std::uint64_t> version);

/// Reads the file that -f names; "-" is standard input.
Outcome<std::string> readFile(const Options &options);

/// Parses the version in the first line "# version N", which `get --output yaml` writes.
std::optional<std::uint64_t> parseVersionLine(std::string_view yaml);

} // namespace snipestall::ctl
