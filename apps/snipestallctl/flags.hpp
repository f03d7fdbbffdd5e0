#pragma once

#include "snipestall/base/result.hpp"

#include "options.hpp"

#include <string>
#include <vector>

namespace snipestall::ctl {

/// A parsed command line.
struct CommandLine
{
    /// The command and its arguments. Flags may stand anywhere between them.
    std::vector<std::string> words;
    Options options;
};

/// Fails with InvalidArgument; the message names the flag and what is allowed.
Result<CommandLine> parseCommandLine(int argc, char **argv);

/// A flag's name, without dashes, and its help text.
struct FlagHelp
{
    std::string name;
    std::string description;
};

/// The flags that snipestallctl itself defines, sorted by name.
std::vector<FlagHelp> flagHelp();

} // namespace snipestall::ctl
