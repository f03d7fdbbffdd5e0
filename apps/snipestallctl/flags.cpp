#include "flags.hpp"

#include <gflags/gflags.h>

#include <array>
#include <charconv>
#include <cstdlib>
#include <string_view>

DEFINE_string(server, "127.0.0.1:7080",
              "operators' listeners as IP:PORT[,IP:PORT], tried in this order");
DEFINE_string(key, "",
              "operator's key; prefer the environment variable SNIPESTALL_OPERATOR_KEY, because "
              "other users can see command lines");
DEFINE_string(output, "table", "output format: table, json or yaml");
DEFINE_string(reason, "", "reason for the change, kept in the audit trail");
DEFINE_string(f, "", "settings file; - for standard input");
DEFINE_string(base_version, "", "version that the change is based on; default: the newest");
DEFINE_string(change_id, "", "id of an earlier change with unknown outcome, to repeat it safely");
DEFINE_bool(wait, false, "after a change, wait until it is in force at every server in --server");
DEFINE_bool(with_keys, false, "let a rollback restore the old version's operators and keys too");
DEFINE_bool(effective, false, "show the values in force and the level that each comes from");
DEFINE_string(at, "", "version to show instead of the newest");
DEFINE_string(data_centre, "", "data centre whose values are shown");
DEFINE_string(customer, "", "customer whose values are shown");
DEFINE_string(service, "", "service whose values are shown");
DEFINE_string(
    since, "",
    "show changes since this time, such as 2026-12-02T20:37:00Z, or this age, such as 2h");
DEFINE_string(path, "", "show only changes that touch this path");
DEFINE_string(who, "", "show only changes by this operator");
DEFINE_string(limit, "50", "number of rows to show, at most 1000");
DECLARE_bool(help);

namespace snipestall::ctl {
namespace {

constexpr const char *KeyVariable = "SNIPESTALL_OPERATOR_KEY";
constexpr std::string_view FlagsFile = "flags.cpp";

tl::unexpected<Error> invalidFlag(const std::string &name, const std::string &problem)
{
    return fail(ErrorKind::InvalidArgument,
                "--" + name + ": " + problem + "; see snipestallctl --help");
}

bool isFlag(std::string_view argument)
{
    return argument.size() > 1 && argument.front() == '-' && argument != "--";
}

// gflags exits with code 1 when a flag is unknown or lacks its value. In this program, 1 means that
// a server refused the request, so a script would mistake a typing error for a conflict. Every flag
// is therefore checked before gflags parses it. Returns whether the flag takes the next argument
// as its value.
Result<bool> checkFlag(std::string_view argument, bool hasNext)
{
    std::string name(argument.substr(argument.starts_with("--") ? 2 : 1));
    const std::size_t equals = name.find('=');
    const bool hasValue = equals != std::string::npos;
    const std::string value = hasValue ? name.substr(equals + 1) : std::string();
    name = name.substr(0, equals);
    gflags::CommandLineFlagInfo flag;
    if (!gflags::GetCommandLineFlagInfo(name.c_str(), &flag))
        return invalidFlag(name, "unknown flag");
    if (flag.type != "bool") {
        if (!hasValue && !hasNext)
            return invalidFlag(name, "missing value");
        return !hasValue;
    }
    if (hasValue && value != "true" && value != "false")
        return invalidFlag(name, "must be true or false");
    return false;
}

Result<bool> checkFlags(int argc, char **argv)
{
    for (int i = 1; i < argc; ++i) {
        const std::string_view argument = argv[i];
        if (argument == "--")
            return true;
        if (!isFlag(argument))
            continue;
        const auto takesNext = checkFlag(argument, i + 1 < argc);
        if (!takesNext)
            return takesNext;
        if (*takesNext)
            ++i;
    }
    return true;
}

Result<std::vector<wire::Endpoint>> readServers()
{
    std::vector<wire::Endpoint> servers;
    std::string_view rest = FLAGS_server;
    while (!rest.empty()) {
        const std::size_t comma = rest.find(',');
        const auto endpoint = wire::Endpoint::parse(rest.substr(0, comma));
        if (!endpoint)
            return invalidFlag("server", endpoint.error().message);
        servers.push_back(*endpoint);
        rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
    }
    if (servers.empty())
        return invalidFlag("server", "must be IP:PORT[,IP:PORT]");
    return servers;
}

Result<std::optional<std::uint64_t>> readNumber(const std::string &name, const std::string &text)
{
    if (text.empty())
        return std::optional<std::uint64_t>();
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc {} || rest != end)
        return invalidFlag(name, "'" + text + "' is not a whole number");
    return std::optional(number);
}

struct FormatName
{
    std::string_view name;
    OutputFormat format;
};

constexpr std::array Formats {
    FormatName { "table", OutputFormat::Table },
    FormatName { "json", OutputFormat::Json },
    FormatName { "yaml", OutputFormat::Yaml },
};

Result<OutputFormat> readFormat()
{
    for (const FormatName &entry : Formats) {
        if (entry.name == FLAGS_output)
            return entry.format;
    }
    return invalidFlag("output", "must be table, json or yaml");
}

std::string readKey()
{
    if (!FLAGS_key.empty())
        return FLAGS_key;
    const char *fromEnvironment = std::getenv(KeyVariable);
    return fromEnvironment ? fromEnvironment : "";
}

void readUncheckedFlags(Options &options)
{
    options.key = readKey();
    options.reason = FLAGS_reason;
    options.file = FLAGS_f;
    options.changeId = FLAGS_change_id;
    options.wait = FLAGS_wait;
    options.withKeys = FLAGS_with_keys;
    options.effective = FLAGS_effective;
    options.dataCentre = FLAGS_data_centre;
    options.customer = FLAGS_customer;
    options.service = FLAGS_service;
    options.since = FLAGS_since;
    options.path = FLAGS_path;
    options.who = FLAGS_who;
    options.help = FLAGS_help;
}

Result<Options> readOptions()
{
    Options options;
    readUncheckedFlags(options);
    auto servers = readServers();
    const auto format = readFormat();
    const auto base = readNumber("base_version", FLAGS_base_version);
    const auto at = readNumber("at", FLAGS_at);
    const auto limit = readNumber("limit", FLAGS_limit);
    if (!servers)
        return tl::unexpected<Error>(servers.error());
    if (!format)
        return tl::unexpected<Error>(format.error());
    for (const auto *number : { &base, &at, &limit }) {
        if (!*number)
            return tl::unexpected<Error>(number->error());
    }
    options.servers = std::move(*servers);
    options.output = *format;
    options.baseVersion = *base;
    options.atVersion = *at;
    options.limit = limit->value_or(options.limit);
    return options;
}

} // namespace

Result<CommandLine> parseCommandLine(int argc, char **argv)
{
    const auto checked = checkFlags(argc, argv);
    if (!checked)
        return tl::unexpected<Error>(checked.error());
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    auto options = readOptions();
    if (!options)
        return tl::unexpected<Error>(options.error());
    CommandLine line;
    line.words.assign(argv + 1, argv + argc);
    line.options = std::move(*options);
    return line;
}

std::vector<FlagHelp> flagHelp()
{
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    std::vector<FlagHelp> own;
    for (const gflags::CommandLineFlagInfo &flag : flags) {
        if (std::string_view(flag.filename).ends_with(FlagsFile))
            own.push_back({ flag.name, flag.description });
    }
    return own;
}

} // namespace snipestall::ctl
