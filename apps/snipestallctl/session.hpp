#pragma once

#include "snipestall/settings/tree.hpp"

#include "command.hpp"
#include "operators_client.hpp"

#include <string>

namespace snipestall::ctl {

/// The client that the flags ask for.
OperatorsClient clientFor(const Options &options);

/// One version of the settings, read and checked; no tree while there are none.
struct ReadVersion
{
    std::uint64_t version = 0;
    std::string yaml;
    bool fromTable = true;

    [[nodiscard]] Outcome<settings::Tree> tree() const;
};

/// The version asked for, or the newest.
Outcome<ReadVersion> readVersion(OperatorsClient &client, std::optional<std::uint64_t> version);

/// The text of the file that -f names; - is standard input.
Outcome<std::string> readFile(const Options &options);

/// The version in a first line "# version N", as `get --output yaml` writes it.
std::optional<std::uint64_t> versionLine(std::string_view yaml);

} // namespace snipestall::ctl
