#include "command.hpp"

#include "commands.hpp"
#include "flags.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <ostream>

namespace snipestall::ctl {
namespace {

constexpr std::size_t Unlimited = std::numeric_limits<std::size_t>::max();

constexpr std::array Commands {
    Command {
        "get", "get [PATH] [--effective [--data_centre D] [--customer C] [--service S]] [--at N]",
        "Shows the settings as written or the values in force.",
        "Without flags: the settings written under PATH in the newest version. With --output "
        "yaml and no PATH:\na document that apply accepts; its first line names the version.\n"
        "--effective: every value in force in one data centre and the level that it comes from.",
        0, 1, runGet },
    Command { "set", "set PATH VALUE [PATH VALUE...] [--reason TEXT] [--base_version N]",
              "Changes values, either all or none.",
              "VALUE is YAML and may be a whole section: set customers/kiyi '{weight: 2, services: "
              "{language: {}}}'.\nIt takes effect in every data centre within seconds, without "
              "a further step. If another operator\nchanged the same path since --base_version, "
              "nothing is applied and the other change is shown.",
              2, Unlimited, runSet },
    Command { "unset", "unset PATH [PATH...] [--reason TEXT] [--base_version N]",
              "Removes values or whole sections, so that the level above applies again.",
              "Either all are removed or none.", 1, Unlimited, runUnset },
    Command { "apply", "apply -f FILE [--reason TEXT] [--base_version N]",
              "Makes the settings equal to a file.",
              "Sends only the differences between the file and the version in its first line "
              "(# version N, as get\n--output yaml writes it), or --base_version if given, or else "
              "the newest. Changes by others\nto other paths are kept.\nThe first document is "
              "applied with the bootstrap key.",
              0, 0, runApply },
    Command { "diff", "diff -f FILE [--at N]", "Shows what apply would change.",
              "Compares the newest version, or version --at, with the file. The exit code is 0 "
              "whether they differ or not.",
              0, 0, runDiff },
    Command { "history", "history [--limit N] [--since T] [--path P] [--who W]",
              "Lists versions, newest first.",
              "One row for each version: who changed it, when and why.", 0, 0, runHistory },
    Command {
        "audit", "audit [--since T] [--path P] [--who W] [--limit N]",
        "Lists every changed path with its old and new value.",
        "T is 2026-12-02T20:37:00Z or an age such as 15min, 2h, 7d. Keys are shown as hashes only.",
        0, 0, runAudit },
    Command { "rollback", "rollback VERSION [--reason TEXT] [--with_keys]",
              "Creates a new version with the content of an old one.",
              "Version numbers only increase. Operators and keys stay as they are now, unless "
              "--with_keys is given,\nso that a key removed since is not restored. If others "
              "change something meanwhile, the rollback is\nrefused like any other change.",
              1, 1, runRollback },
    Command { "status", "status [--server IP:PORT,...]",
              "Shows instances, versions in force, backend servers and queues.",
              "Queries every server in --server, not only the first that answers.", 0, 0,
              runStatus },
    Command {
        "drain", "drain --server IP:PORT", "Shuts one instance down gracefully.",
        "The instance accepts no new work; the requests that it holds end or move to its peers.", 0,
        0, runDrain },
    Command { "explain", "explain PATH", "Explains a setting and its allowed values.",
              "PATH is a full path, a pattern such as customers/*/weight, or a single key.", 1, 1,
              runExplain },
    Command { "check", "check -f FILE", "Checks a settings file without a server.",
              "Lists all faults at once, each with its path, the value found and what is allowed.",
              0, 0, runCheck },
    Command { "new-key", "new-key", "Generates a bearer key and its hash.",
              "Give the key to its holder; only the hash goes into the settings.", 0, 0,
              runNewKey },
    Command { "reference", "reference [settings|metrics|events]",
              "Prints a generated reference page.",
              "This command generates docs/settings.md, docs/metrics.md and docs/events.md.", 0, 1,
              runReference },
    Command { "completion", "completion bash", "Prints the completion script of a shell.",
              "source <(snipestallctl completion bash)", 1, 1, runCompletion },
};

void printHelp(std::ostream &out)
{
    out << "snipestallctl COMMAND [ARGUMENTS] [FLAGS]: manages the settings and shows the state of "
           "snipestall\n\n";
    for (const Command &command : Commands)
        out << "  " << command.name << std::string(12 - command.name.size(), ' ') << command.summary
            << '\n';
    out << "\nFlags:\n";
    for (const FlagHelp &flag : flagHelp())
        out << "  " << (flag.name.size() == 1 ? "-" : "--") << flag.name << "  " << flag.description
            << '\n';
    out << "\nExit codes: 0 ok, 1 refused, 2 bad input, 3 unreachable (nothing applied),\n"
           "4 outcome unknown, 5 accepted but not in force in time (--wait).\n"
           "More: snipestallctl COMMAND --help, docs/snipestallctl.md\n";
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
        err << "snipestallctl: unknown command '" << words.front()
            << "'; see snipestallctl --help\n";
        return ExitCode::BadInput;
    }
    if (options.help) {
        printHelp(out, *command);
        return ExitCode::Ok;
    }
    const Invocation invocation { { words.begin() + 1, words.end() }, options, out, err };
    const std::size_t count = invocation.arguments.size();
    if (count < command->minArguments || count > command->maxArguments) {
        err << "snipestallctl: usage: snipestallctl " << command->usage << '\n';
        return ExitCode::BadInput;
    }
    return command->run(invocation);
}

} // namespace snipestall::ctl
