#pragma once

#include "exit_code.hpp"
#include "options.hpp"

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::ctl {

/// One run of a command.
struct Invocation
{
    /// What stands behind the command's name.
    std::vector<std::string> arguments;
    Options options;
    std::ostream &out;
    std::ostream &err;
};

/// One command of the program.
struct Command
{
    std::string_view name;
    std::string_view usage;
    std::string_view summary;
    std::string_view help;
    std::size_t leastArguments;
    std::size_t mostArguments;
    ExitCode (*run)(const Invocation &);
};

std::span<const Command> commands();

/// Finds and runs the command that `words` begins with; help where it is asked for.
ExitCode run(const std::vector<std::string> &words, const Options &options, std::ostream &out,
             std::ostream &err);

} // namespace snipestall::ctl
