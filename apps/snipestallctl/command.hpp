#pragma once

#include "exit_code.hpp"
#include "options.hpp"

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::ctl {

/// The arguments, flags and output streams of one run of a command.
struct Invocation
{
    /// The words after the command's name.
    std::vector<std::string> arguments;
    Options options;
    std::ostream &out;
    std::ostream &err;
};

/// A subcommand: its help texts, the number of arguments that it takes and its function.
struct Command
{
    std::string_view name;
    std::string_view usage;
    std::string_view summary;
    std::string_view help;
    std::size_t minArguments;
    std::size_t maxArguments;
    ExitCode (*run)(const Invocation &);
};

/// All subcommands, in the order of the help text.
std::span<const Command> commands();

/// Runs the command that the first of `words` names, or prints its help if options.help is set.
/// Prints an error or the usage and returns BadInput if the command or the number of arguments is
/// wrong.
ExitCode run(const std::vector<std::string> &words, const Options &options, std::ostream &out,
             std::ostream &err);

} // namespace snipestall::ctl
