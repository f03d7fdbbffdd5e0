#include "commands.hpp"

#include "snipestall/settings/document.hpp"
#include "snipestall/settings/tree_edits.hpp"

#include "change_id.hpp"
#include "report.hpp"
#include "session.hpp"

#include <boost/json.hpp>

#include <chrono>
#include <ostream>
#include <thread>

namespace snipestall::ctl {

namespace json = boost::json;

namespace {

// If the outcome is unknown, the operator needs the change's id to find out whether the change was
// applied, so the id is part of the message.
Failure withRetryHint(Failure failure, const std::string &changeId)
{
    if (failure.code == ExitCode::OutcomeUnknown)
        failure.refusal.error.message +=
            "\nThe change may have been applied. To find out, run the same command "
            "with --change_id "
            + changeId + " added: the change takes effect at most once.";
    return failure;
}

// The first version is made with the bootstrap key, and servers refuse that key as soon as this
// version is in force. For the first version, such a refusal therefore means that it is in force.
bool isInForce(OperatorsClient &client, const wire::Endpoint &server, std::uint64_t version)
{
    constexpr std::uint64_t FirstVersion = 1;
    const auto status = client.status(server);
    if (!status)
        return version == FirstVersion
            && status.error().refusal.error.kind == ErrorKind::Unauthenticated;
    return status->settingsVersion >= version;
}

/// Waits until every server has the version in force. Returns the servers that don't have it in
/// force when the time is over.
std::vector<wire::Endpoint> waitForAll(OperatorsClient &client, std::uint64_t version,
                                       std::chrono::milliseconds timeout)
{
    using std::chrono::steady_clock;
    constexpr auto Pause = std::chrono::milliseconds(200);
    const auto end = steady_clock::now() + timeout;
    std::vector<wire::Endpoint> behind = client.servers();
    while (true) {
        std::erase_if(behind, [&](const wire::Endpoint &server) {
            return isInForce(client, server, version);
        });
        if (behind.empty() || steady_clock::now() >= end)
            return behind;
        std::this_thread::sleep_for(Pause);
    }
}

ExitCode waitIfRequested(const Invocation &invocation, OperatorsClient &client,
                         std::uint64_t version)
{
    if (!invocation.options.wait)
        return ExitCode::Ok;
    const std::vector<wire::Endpoint> behind =
        waitForAll(client, version, invocation.options.inForceWithin);
    for (const wire::Endpoint &server : behind)
        invocation.err << "accepted, but not yet in force at " << server.toString()
                       << "; see snipestallctl status\n";
    return behind.empty() ? ExitCode::Ok : ExitCode::NotInForce;
}

ExitCode send(const Invocation &invocation, OperatorsClient &client, peer::SettingsChange change)
{
    change.id = invocation.options.changeId.empty() ? newChangeId() : invocation.options.changeId;
    if (change.reason.empty())
        change.reason = invocation.options.reason;
    const auto accepted = client.change(change);
    if (!accepted)
        return report(invocation, withRetryHint(accepted.error(), change.id));
    const std::string version = std::to_string(accepted->version);
    const TextTable table { { "VERSION", "CHANGE" }, { { version, change.id } } };
    const json::object content { { "version", accepted->version },
                                 { "hash", accepted->hash },
                                 { "change_id", change.id } };
    print(invocation.out, invocation.options.output, table, content);
    return waitIfRequested(invocation, client, accepted->version);
}

/// The version that the change is based on: the one of --base_version, or else the newest.
Outcome<std::uint64_t> baseVersionOf(const Invocation &invocation, OperatorsClient &client)
{
    if (invocation.options.baseVersion)
        return *invocation.options.baseVersion;
    const auto newest = client.settings();
    if (!newest)
        return tl::unexpected(newest.error());
    return newest->document.version;
}

ExitCode sendEdits(const Invocation &invocation, std::vector<settings::Edit> edits)
{
    OperatorsClient client = clientFor(invocation.options);
    const auto base = baseVersionOf(invocation, client);
    if (!base)
        return report(invocation, base.error());
    peer::SettingsChange change;
    change.baseVersion = *base;
    change.edits = std::move(edits);
    return send(invocation, client, std::move(change));
}

ExitCode reportNoChange(const Invocation &invocation, std::uint64_t version)
{
    invocation.err << "nothing to change: version " << version << " already has this content\n";
    return ExitCode::Ok;
}

ExitCode sendFirstDocument(const Invocation &invocation, OperatorsClient &client,
                           const std::string &yaml)
{
    peer::SettingsChange change;
    change.yaml = yaml;
    return send(invocation, client, std::move(change));
}

/// Sends the edits that turn the base version into the wanted tree.
ExitCode sendDifference(const Invocation &invocation, OperatorsClient &client,
                        const SettingsVersion &base, const settings::Tree &wanted,
                        const std::string &reason)
{
    const auto tree = base.tree();
    if (!tree)
        return report(invocation, tree.error());
    peer::SettingsChange change;
    change.baseVersion = base.version;
    change.reason = invocation.options.reason.empty() ? reason : invocation.options.reason;
    change.edits = settings::editsBetween(*tree, wanted);
    if (change.edits.empty())
        return reportNoChange(invocation, base.version);
    return send(invocation, client, std::move(change));
}

constexpr std::string_view OperatorsPrefix = "operators/";

bool isKeyPath(std::string_view path)
{
    return path.starts_with(OperatorsPrefix) || path.ends_with("/key_hashes");
}

// Keeps the current operators and keys in a rollback. If a leaked key was removed from the settings
// and a limit is rolled back weeks later, restoring the old version as a whole would make the
// leaked key valid again without anyone noticing. A customer that the rollback restores has no key
// until it is given one.
settings::Document withCurrentKeys(const settings::Document &now, settings::Document old)
{
    std::erase_if(old.values, [](const auto &entry) { return isKeyPath(entry.first); });
    std::erase_if(old.entities, [](const std::string &path) { return isKeyPath(path); });
    for (const std::string &entity : now.entities) {
        if (isKeyPath(entity))
            old.entities.insert(entity);
    }
    for (const auto &[path, value] : now.values) {
        const std::string parent = path.substr(0, path.rfind('/'));
        if (isKeyPath(path) && old.has(parent))
            old.values.emplace(path, value);
    }
    return old;
}

/// The settings that a rollback should result in.
Outcome<settings::Tree> rollbackTarget(const Invocation &invocation, const SettingsVersion &newest,
                                       const SettingsVersion &old)
{
    auto content = old.tree();
    if (!content || invocation.options.withKeys)
        return content;
    const auto now = newest.tree();
    if (!now)
        return now;
    auto wanted = settings::Tree::check(withCurrentKeys(now->document(), content->document()));
    if (wanted)
        return std::move(*wanted);
    Failure failure =
        Failure::of(ExitCode::BadInput, ErrorKind::InvalidArgument,
                    "the old version is not valid with the current keys; use --with_keys "
                    "or edit the document");
    failure.refusal.faults = std::move(wanted.error());
    return tl::unexpected(std::move(failure));
}

} // namespace

ExitCode runSet(const Invocation &invocation)
{
    if (invocation.arguments.size() % 2 != 0)
        return reportBadInput(invocation,
                              "arguments must be pairs: set PATH VALUE [PATH VALUE...]");
    std::vector<settings::Edit> edits;
    for (std::size_t i = 0; i < invocation.arguments.size(); i += 2)
        edits.push_back({ invocation.arguments[i], invocation.arguments[i + 1] });
    return sendEdits(invocation, std::move(edits));
}

ExitCode runUnset(const Invocation &invocation)
{
    std::vector<settings::Edit> edits;
    edits.reserve(invocation.arguments.size());
    for (const std::string &path : invocation.arguments)
        edits.push_back({ path, std::nullopt });
    return sendEdits(invocation, std::move(edits));
}

// Sending the file as a whole would revert whatever another operator changed since the file was
// read. So only the differences between the file and the version in its first line are sent.
ExitCode runApply(const Invocation &invocation)
{
    const auto text = readFile(invocation.options);
    if (!text)
        return report(invocation, text.error());
    const auto wanted = settings::Tree::parse(*text);
    if (!wanted)
        return reportFaults(invocation, wanted.error());
    OperatorsClient client = clientFor(invocation.options);
    const auto newest = readVersion(client, std::nullopt);
    if (!newest)
        return report(invocation, newest.error());
    if (newest->version == 0)
        return sendFirstDocument(invocation, client, *text);
    const auto seen =
        invocation.options.baseVersion ? invocation.options.baseVersion : parseVersionLine(*text);
    if (!seen || *seen == newest->version)
        return sendDifference(invocation, client, *newest, *wanted, "");
    const auto base = readVersion(client, seen);
    if (!base)
        return report(invocation, base.error());
    return sendDifference(invocation, client, *base, *wanted, "");
}

ExitCode runRollback(const Invocation &invocation)
{
    std::uint64_t version = 0;
    try {
        version = std::stoull(invocation.arguments.front());
    } catch (const std::exception &) {
        return reportBadInput(invocation,
                              "the version must be a whole number; see snipestallctl history");
    }
    OperatorsClient client = clientFor(invocation.options);
    const auto old = readVersion(client, version);
    if (!old)
        return report(invocation, old.error());
    const auto newest = readVersion(client, invocation.options.baseVersion);
    if (!newest)
        return report(invocation, newest.error());
    const auto wanted = rollbackTarget(invocation, *newest, *old);
    if (!wanted)
        return report(invocation, wanted.error());
    return sendDifference(invocation, client, *newest, *wanted,
                          "back to the content of version " + std::to_string(version));
}

} // namespace snipestall::ctl
