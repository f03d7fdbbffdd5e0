#include "flags.hpp"

#include <gflags/gflags.h>

#include <array>
#include <charconv>
#include <cstdlib>
#include <string_view>

DEFINE_string(server, "127.0.0.1:7080",
              "operators' listeners, IP:PORT[,IP:PORT]; each is tried in turn");
DEFINE_string(key, "",
              "operator's key; better in the environment as SNIPESTALL_OPERATOR_KEY, since other "
              "users can see command lines");
DEFINE_string(output, "table", "table, json or yaml");
DEFINE_string(reason, "", "why the change is made; stands in the audit trail");
DEFINE_string(f, "", "settings file; - reads standard input");
DEFINE_string(base_version, "", "version that the change is made against; the newest if not given");
DEFINE_string(change_id, "", "repeats an earlier change whose outcome is unknown");
DEFINE_bool(wait, false, "after a change, wait until every server named has it in force");
DEFINE_bool(with_keys, false, "a rollback takes the old version's operators and keys too");
DEFINE_bool(effective, false, "show values in force and the level each comes from");
DEFINE_string(at, "", "version to show in place of the newest");
DEFINE_string(data_centre, "", "data centre whose values are shown");
DEFINE_string(customer, "", "customer whose values are shown");
DEFINE_string(service, "", "service whose values are shown");
DEFINE_string(since, "", "oldest time, as 2026-12-02T20:37:00Z or an age such as 2h");
DEFINE_string(path, "", "only changes that touch this path");
DEFINE_string(who, "", "only changes of this operator");
DEFINE_string(limit, "50", "rows to show, at most 1000");
DECLARE_bool(help);

namespace snipestall::ctl {
namespace {

constexpr const char *KeyVariable = "SNIPESTALL_OPERATOR_KEY";
constexpr std::string_view OwnFile = "flags.cpp";

tl::unexpected<Error> wrongFlag(const std::string &name, const std::string &remedy)
{
    return fail(ErrorKind::InvalidArgument,
                "--" + name + ": " + remedy + "; see snipestallctl --help");
}

bool isFlag(std::string_view argument)
{
    return argument.size() > 1 && argument.front() == '-' && argument != "--";
}

// The library ends the process by itself, with 1, when a flag is unknown or lacks its value. Here 1
// means that a server refused, so a script would take a typing error for a conflict; every flag is
// therefore looked at before the library sees it.
Result<bool> checkFlag(std::string_view argument, bool hasNext)
{
    std::string name(argument.substr(argument.starts_with("--") ? 2 : 1));
    const std::size_t equals = name.find('=');
    const bool hasValue = equals != std::string::npos;
    const std::string value = hasValue ? name.substr(equals + 1) : std::string();
    name = name.substr(0, equals);
    gflags::CommandLineFlagInfo flag;
    if (!gflags::GetCommandLineFlagInfo(name.c_str(), &flag))
        return wrongFlag(name, "there is no such flag");
    if (flag.type != "bool") {
        if (!hasValue && !hasNext)
            return wrongFlag(name, "its value is missing");
        return !hasValue;
    }
    if (hasValue && value != "true" && value != "false")
        return wrongFlag(name, "true or false");
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
            return wrongFlag("server", endpoint.error().message);
        servers.push_back(*endpoint);
        rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
    }
    if (servers.empty())
        return wrongFlag("server", "give IP:PORT[,IP:PORT]");
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
        return wrongFlag(name, "'" + text + "' is no whole number");
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
    return wrongFlag("output", "table, json or yaml");
}

std::string readKey()
{
    if (!FLAGS_key.empty())
        return FLAGS_key;
    const char *fromEnvironment = std::getenv(KeyVariable);
    return fromEnvironment ? fromEnvironment : "";
}

void readTexts(Options &options)
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
    readTexts(options);
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
        if (std::string_view(flag.filename).ends_with(OwnFile))
            own.push_back({ flag.name, flag.description });
    }
    return own;
}

} // namespace snipestall::ctl
