#include "session.hpp"

#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>

namespace snipestall::ctl {

OperatorsClient clientFor(const Options &options)
{
    ClientOptions client;
    client.servers = options.servers;
    client.key = options.key;
    return OperatorsClient(std::move(client));
}

Outcome<settings::Tree> SettingsVersion::tree() const
{
    auto parsed = settings::Tree::parse(yaml);
    if (parsed)
        return std::move(*parsed);
    Failure failure =
        Failure::of(ExitCode::BadInput, ErrorKind::InvalidArgument,
                    "version " + std::to_string(version)
                        + " does not pass the checks of this snipestallctl; use the one "
                          "of the instances' release");
    failure.refusal.faults = std::move(parsed.error());
    return tl::unexpected(std::move(failure));
}

Outcome<SettingsVersion> readVersion(OperatorsClient &client, std::optional<std::uint64_t> version)
{
    auto message = version ? client.version(*version) : client.settings();
    if (!message)
        return tl::unexpected(std::move(message.error()));
    return SettingsVersion { message->document.version, std::move(message->document.yaml),
                             message->fromTable };
}

Outcome<std::string> readFile(const Options &options)
{
    if (options.file == "-")
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    std::ifstream file(options.file);
    if (options.file.empty() || !file)
        return tl::unexpected(Failure::of(ExitCode::BadInput, ErrorKind::NotFound,
                                          options.file.empty()
                                              ? "no settings file given; use -f FILE"
                                              : "cannot read the file '" + options.file + "'"));
    return std::string(std::istreambuf_iterator<char>(file), {});
}

std::optional<std::uint64_t> parseVersionLine(std::string_view yaml)
{
    constexpr std::string_view Prefix = "# version ";
    if (!yaml.starts_with(Prefix))
        return std::nullopt;
    const std::string_view text = yaml.substr(Prefix.size());
    std::uint64_t version = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    return error == std::errc {} ? std::optional(version) : std::nullopt;
}

} // namespace snipestall::ctl
