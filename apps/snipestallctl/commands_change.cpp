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

// A client that vanishes with the answer unread leaves the operator with nothing to ask by, so the
// id is part of the message.
Failure withWayOn(Failure failure, const std::string &changeId)
{
    if (failure.code == ExitCode::OutcomeUnknown)
        failure.refusal.error.message +=
            "\nThe change may be in. To find out, run the same command "
            "with --change_id "
            + changeId + " added: it takes effect once at most.";
    return failure;
}

// The bootstrap key that makes the first version is refused from the moment that this version is in
// force: there the refusal is the sign that was waited for.
bool isInForce(OperatorsClient &client, const wire::Endpoint &server, std::uint64_t version)
{
    constexpr std::uint64_t First = 1;
    const auto status = client.status(server);
    if (!status)
        return version == First && status.error().refusal.error.kind == ErrorKind::Unauthenticated;
    return status->settingsVersion >= version;
}

/// The servers that don't have the version in force when the time for it is over.
std::vector<wire::Endpoint> waitForAll(OperatorsClient &client, std::uint64_t version,
                                       std::chrono::milliseconds longest)
{
    using std::chrono::steady_clock;
    constexpr auto Pause = std::chrono::milliseconds(200);
    const auto end = steady_clock::now() + longest;
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

ExitCode waitIfAsked(const Invocation &run, OperatorsClient &client, std::uint64_t version)
{
    if (!run.options.wait)
        return ExitCode::Ok;
    const std::vector<wire::Endpoint> behind =
        waitForAll(client, version, run.options.inForceWithin);
    for (const wire::Endpoint &server : behind)
        run.err << "accepted, but not yet in force at " << server.toString()
                << "; see snipestallctl status\n";
    return behind.empty() ? ExitCode::Ok : ExitCode::NotInForce;
}

ExitCode send(const Invocation &run, OperatorsClient &client, peer::SettingsChange change)
{
    change.id = run.options.changeId.empty() ? newChangeId() : run.options.changeId;
    if (change.reason.empty())
        change.reason = run.options.reason;
    const auto accepted = client.change(change);
    if (!accepted)
        return report(run, withWayOn(accepted.error(), change.id));
    const std::string version = std::to_string(accepted->version);
    const TextTable table { { "VERSION", "CHANGE" }, { { version, change.id } } };
    const json::object content { { "version", accepted->version },
                                 { "hash", accepted->hash },
                                 { "change_id", change.id } };
    print(run.out, run.options.output, table, content);
    return waitIfAsked(run, client, accepted->version);
}

/// The version that the operator saw: the one named, or else the newest.
Outcome<std::uint64_t> baseOf(const Invocation &run, OperatorsClient &client)
{
    if (run.options.baseVersion)
        return *run.options.baseVersion;
    const auto newest = client.settings();
    if (!newest)
        return tl::unexpected(newest.error());
    return newest->document.version;
}

ExitCode sendEdits(const Invocation &run, std::vector<settings::Edit> edits)
{
    OperatorsClient client = clientFor(run.options);
    const auto base = baseOf(run, client);
    if (!base)
        return report(run, base.error());
    peer::SettingsChange change;
    change.baseVersion = *base;
    change.edits = std::move(edits);
    return send(run, client, std::move(change));
}

ExitCode nothingToChange(const Invocation &run, std::uint64_t version)
{
    run.err << "nothing to change: version " << version << " says the same\n";
    return ExitCode::Ok;
}

ExitCode sendFirst(const Invocation &run, OperatorsClient &client, const std::string &yaml)
{
    peer::SettingsChange change;
    change.yaml = yaml;
    return send(run, client, std::move(change));
}

/// Sends what leads from one version to a tree.
ExitCode sendDifference(const Invocation &run, OperatorsClient &client, const ReadVersion &base,
                        const settings::Tree &wanted, const std::string &reason)
{
    const auto tree = base.tree();
    if (!tree)
        return report(run, tree.error());
    peer::SettingsChange change;
    change.baseVersion = base.version;
    change.reason = run.options.reason.empty() ? reason : run.options.reason;
    change.edits = settings::editsBetween(*tree, wanted);
    if (change.edits.empty())
        return nothingToChange(run, base.version);
    return send(run, client, std::move(change));
}

constexpr std::string_view Operators = "operators/";

bool isKeyPath(std::string_view path)
{
    return path.starts_with(Operators) || path.ends_with("/key_hashes");
}

// A key that has leaked is taken out of the settings, and weeks later a limit is rolled back. If
// the old version came back whole, the leaked key would open the door again, unseen. So a rollback
// leaves who may enter as it is now; a customer that comes back has no key until it is given one.
settings::Document withKeysOf(const settings::Document &now, settings::Document old)
{
    std::erase_if(old.values, [](const auto &entry) { return isKeyPath(entry.first); });
    std::erase_if(old.entities, [](const std::string &path) { return isKeyPath(path); });
    for (const std::string &entity : now.entities) {
        if (isKeyPath(entity))
            old.entities.insert(entity);
    }
    for (const auto &[path, value] : now.values) {
        const std::string holder = path.substr(0, path.rfind('/'));
        if (isKeyPath(path) && old.has(holder))
            old.values.emplace(path, value);
    }
    return old;
}

/// What a rollback is to lead to.
Outcome<settings::Tree> rollbackTarget(const Invocation &run, const ReadVersion &newest,
                                       const ReadVersion &old)
{
    auto content = old.tree();
    if (!content || run.options.withKeys)
        return content;
    const auto now = newest.tree();
    if (!now)
        return now;
    auto wanted = settings::Tree::check(withKeysOf(now->document(), content->document()));
    if (wanted)
        return std::move(*wanted);
    Failure failure = Failure::of(ExitCode::BadInput, ErrorKind::InvalidArgument,
                                  "the old version does not go with today's keys; use --with_keys "
                                  "or edit the document");
    failure.refusal.faults = std::move(wanted.error());
    return tl::unexpected(std::move(failure));
}

} // namespace

ExitCode runSet(const Invocation &run)
{
    if (run.arguments.size() % 2 != 0)
        return reportBadInput(run, "give pairs: set PATH VALUE [PATH VALUE...]");
    std::vector<settings::Edit> edits;
    for (std::size_t i = 0; i < run.arguments.size(); i += 2)
        edits.push_back({ run.arguments[i], run.arguments[i + 1] });
    return sendEdits(run, std::move(edits));
}

ExitCode runUnset(const Invocation &run)
{
    std::vector<settings::Edit> edits;
    edits.reserve(run.arguments.size());
    for (const std::string &path : run.arguments)
        edits.push_back({ path, std::nullopt });
    return sendEdits(run, std::move(edits));
}

// Sending the file as a whole would put back whatever another operator changed since it was read.
// So only what the file changes is sent, against the version in its first line.
ExitCode runApply(const Invocation &run)
{
    const auto text = readFile(run.options);
    if (!text)
        return report(run, text.error());
    const auto wanted = settings::Tree::parse(*text);
    if (!wanted)
        return reportFaults(run, wanted.error());
    OperatorsClient client = clientFor(run.options);
    const auto newest = readVersion(client, std::nullopt);
    if (!newest)
        return report(run, newest.error());
    if (newest->version == 0)
        return sendFirst(run, client, *text);
    const auto seen = run.options.baseVersion ? run.options.baseVersion : versionLine(*text);
    if (!seen || *seen == newest->version)
        return sendDifference(run, client, *newest, *wanted, "");
    const auto base = readVersion(client, seen);
    if (!base)
        return report(run, base.error());
    return sendDifference(run, client, *base, *wanted, "");
}

ExitCode runRollback(const Invocation &run)
{
    std::uint64_t version = 0;
    try {
        version = std::stoull(run.arguments.front());
    } catch (const std::exception &) {
        return reportBadInput(run, "a version is a whole number; see snipestallctl history");
    }
    OperatorsClient client = clientFor(run.options);
    const auto old = readVersion(client, version);
    if (!old)
        return report(run, old.error());
    const auto newest = readVersion(client, run.options.baseVersion);
    if (!newest)
        return report(run, newest.error());
    const auto wanted = rollbackTarget(run, *newest, *old);
    if (!wanted)
        return report(run, wanted.error());
    return sendDifference(run, client, *newest, *wanted,
                          "back to the content of version " + std::to_string(version));
}

} // namespace snipestall::ctl
