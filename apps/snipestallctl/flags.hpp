#pragma once

#include "snipestall/base/result.hpp"

#include "options.hpp"

#include <string>
#include <vector>

namespace snipestall::ctl {

/// A command line taken apart.
struct CommandLine
{
    /// Command and its arguments; flags may stand anywhere between them.
    std::vector<std::string> words;
    Options options;
};

/// InvalidArgument names the flag and what is allowed.
Result<CommandLine> parseCommandLine(int argc, char **argv);

struct FlagHelp
{
    std::string name;
    std::string meaning;
};

/// The product's own flags, in order of their names.
std::vector<FlagHelp> flagHelp();

} // namespace snipestall::ctl
