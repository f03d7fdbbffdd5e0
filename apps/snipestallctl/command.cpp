#include "command.hpp"

#include "commands.hpp"
#include "flags.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <ostream>

namespace snipestall::ctl {
namespace {

constexpr std::size_t Any = std::numeric_limits<std::size_t>::max();

constexpr std::array Commands {
    Command { "get",
              "get [PATH] [--effective [--data_centre D] [--customer C] [--service S]] [--at N]",
              "Shows settings as written, or the values in force.",
              "Without flags: what is written under PATH in the newest version. With --output yaml "
              "and no PATH\na document that apply takes back; its first line names the version.\n"
              "--effective: every value in force in one data centre and the level it comes from.",
              0, 1, runGet },
    Command { "set", "set PATH VALUE [PATH VALUE...] [--reason TEXT] [--base_version N]",
              "Changes values, all together or none.",
              "VALUE is YAML, a whole section too: set customers/kiyi '{weight: 2, services: "
              "{language: {}}}'.\nTakes effect in every data centre within seconds, without a "
              "further step. If another operator\nchanged the same path since --base_version, "
              "nothing is applied and that change is shown.",
              2, Any, runSet },
    Command { "unset", "unset PATH [PATH...] [--reason TEXT] [--base_version N]",
              "Takes values or whole sections away, so that the level above shows again.",
              "All together or none.", 1, Any, runUnset },
    Command {
        "apply", "apply -f FILE [--reason TEXT] [--base_version N]",
        "Makes the settings equal to a file.",
        "Sends only what the file changes against the version in its first line (# version N, "
        "as get --output\nyaml writes it), or against --base_version, or else the newest. "
        "What others changed elsewhere stays.\nThe very first document is applied with the "
        "bootstrap key.",
        0, 0, runApply },
    Command { "diff", "diff -f FILE [--at N]", "Shows what apply would change.",
              "Compares the newest version, or version --at, with the file. Ends with 0 whether "
              "they differ or not.",
              0, 0, runDiff },
    Command { "history", "history [--limit N] [--since T] [--path P] [--who W]",
              "Lists versions, newest first.", "One row for each version: who, when, why.", 0, 0,
              runHistory },
    Command {
        "audit", "audit [--since T] [--path P] [--who W] [--limit N]",
        "Lists every changed path with old and new value.",
        "T is 2026-12-02T20:37:00Z or an age such as 15min, 2h, 7d. Keys show as hashes only.", 0,
        0, runAudit },
    Command {
        "rollback", "rollback VERSION [--reason TEXT] [--with_keys]",
        "Makes a new version with the content of an old one.",
        "Versions only go forward. Operators and keys stay as they are now, unless --with_keys is "
        "given,\nso that a key taken away since doesn't come back. If others change something "
        "meanwhile, it is refused like "
        "any other change.",
        1, 1, runRollback },
    Command { "status", "status [--server IP:PORT,...]",
              "Shows instances, versions in force, backend servers and queues.",
              "Asks every server named, not only the first that answers.", 0, 0, runStatus },
    Command { "drain", "drain --server IP:PORT", "Shuts one instance down gracefully.",
              "It accepts no new work; what it holds ends or moves to its peers.", 0, 0, runDrain },
    Command { "explain", "explain PATH", "Says what a setting means and what is allowed.",
              "PATH is a real path, a pattern such as customers/*/weight, or a key alone.", 1, 1,
              runExplain },
    Command { "check", "check -f FILE", "Checks a file without a server.",
              "Every fault in one go, each with its path, what was found and what is allowed.", 0,
              0, runCheck },
    Command { "new-key", "new-key", "Makes a bearer key and its hash.",
              "Give the key to its holder; only the hash goes into the settings.", 0, 0,
              runNewKey },
    Command { "reference", "reference [settings|metrics|events]", "Prints the generated pages.",
              "docs/settings.md, docs/metrics.md and docs/events.md are made by this.", 0, 1,
              runReference },
    Command { "completion", "completion bash", "Prints the shell's completion script.",
              "source <(snipestallctl completion bash)", 1, 1, runCompletion },
};

void printHelp(std::ostream &out)
{
    out << "snipestallctl COMMAND [ARGUMENTS] [FLAGS]: settings and state of snipestall\n\n";
    for (const Command &command : Commands)
        out << "  " << command.name << std::string(12 - command.name.size(), ' ') << command.summary
            << '\n';
    out << "\nFlags:\n";
    for (const FlagHelp &flag : flagHelp())
        out << "  " << (flag.name.size() == 1 ? "-" : "--") << flag.name << "  " << flag.meaning
            << '\n';
    out << "\nEnds with 0 ok, 1 refused, 2 bad input, 3 unreachable (nothing applied), 4 outcome\n"
           "unknown, 5 accepted but not in force in time (--wait).\nMore: snipestallctl COMMAND "
           "--help, docs/snipestallctl.md\n";
}

void printHelp(std::ostream &out, const Command &command)
{
    out << "snipestallctl " << command.usage << "\n\n"
        << command.summary << '\n'
        << command.help << '\n';
}

const Command *find(std::string_view name)
{
    const auto it = std::find_if(Commands.begin(), Commands.end(),
                                 [&](const Command &command) { return command.name == name; });
    return it == Commands.end() ? nullptr : &*it;
}

} // namespace

std::span<const Command> commands()
{
    return Commands;
}

ExitCode run(const std::vector<std::string> &words, const Options &options, std::ostream &out,
             std::ostream &err)
{
    if (words.empty()) {
        printHelp(options.help ? out : err);
        return options.help ? ExitCode::Ok : ExitCode::BadInput;
    }
    const Command *command = find(words.front());
    if (!command) {
        err << "snipestallctl: no command '" << words.front() << "'; see snipestallctl --help\n";
        return ExitCode::BadInput;
    }
    if (options.help) {
        printHelp(out, *command);
        return ExitCode::Ok;
    }
    const Invocation invocation { { words.begin() + 1, words.end() }, options, out, err };
    const std::size_t count = invocation.arguments.size();
    if (count < command->leastArguments || count > command->mostArguments) {
        err << "snipestallctl: usage: snipestallctl " << command->usage << '\n';
        return ExitCode::BadInput;
    }
    return command->run(invocation);
}

} // namespace snipestall::ctl
