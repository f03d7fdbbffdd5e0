#include "admin_routes.hpp"

#include "snipestall/admin/messages.hpp"
#include "snipestall/admin/metrics.hpp"
#include "snipestall/admin/status_source.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/peer/settings_keeper.hpp"
#include "snipestall/peer/settings_store.hpp"
#include "snipestall/settings/effective_settings.hpp"
#include "snipestall/settings/explain_effective.hpp"
#include "snipestall/settings/tree.hpp"
#include "snipestall/settings/tree_edits.hpp"

#include "audit_query.hpp"
#include "reply.hpp"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <utility>

namespace snipestall::admin {

using wire::HttpRequest;
using wire::HttpResponse;

namespace {

constexpr std::string_view VersionsPath = "/settings/versions/";
constexpr std::string_view MetricsPath = "/metrics";
constexpr int Ok = 200;
constexpr int Accepted = 202;

std::optional<std::uint64_t> versionIn(std::string_view path)
{
    const std::string_view text = path.substr(VersionsPath.size());
    std::uint64_t version = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, version);
    const bool isNumber = !text.empty() && error == std::errc {} && rest == end;
    return isNumber ? std::optional(version) : std::nullopt;
}

HttpResponse settingsReply(const peer::SettingsDocument &document, bool fromTable)
{
    const SettingsMessage message { document, fromTable };
    return HttpResponse::json(Ok, encodeSettings(message));
}

EffectiveMessage effectiveMessage(std::uint64_t version, const std::string &dataCentre,
                                  const std::vector<settings::ResolvedValue> &values)
{
    EffectiveMessage message { version, dataCentre, {} };
    for (const settings::ResolvedValue &value : values)
        message.values.push_back({ value.key, settings::toText(value.value), value.from });
    return message;
}

// Checks a change's id and reason. The id becomes part of a row's key. Both are stored in the audit
// trail, which other operators read on their terminals, where a control character could alter what
// they see.
std::optional<Error> findInvalidText(const peer::SettingsChange &change)
{
    constexpr std::size_t MaxIdLength = 64;
    constexpr std::size_t MaxReasonLength = 500;
    const auto isIdCharacter = [](unsigned char c) {
        return std::isalnum(c) || c == '-' || c == '_';
    };
    const auto isControl = [](unsigned char c) { return std::iscntrl(c) != 0; };
    const std::string &id = change.id;
    if (id.empty() || id.size() > MaxIdLength || !std::all_of(id.begin(), id.end(), isIdCharacter))
        return Error { ErrorKind::InvalidArgument,
                       "the id must consist of 1 to 64 letters, digits, '-' or '_'; let "
                       "snipestallctl choose it" };
    const std::string &reason = change.reason;
    if (reason.size() > MaxReasonLength || std::any_of(reason.begin(), reason.end(), isControl))
        return Error { ErrorKind::InvalidArgument,
                       "the reason must be one line of at most 500 bytes; shorten it" };
    return std::nullopt;
}

Error noValuesError(const settings::EffectiveQuery &query)
{
    std::string message = "no settings are in force for data centre '" + query.dataCentre + "'";
    if (!query.customer.empty())
        message += ", customer '" + query.customer + "'";
    if (!query.service.empty())
        message += ", service '" + query.service + "'";
    return { ErrorKind::NotFound, message + "; list the names with snipestallctl get" };
}

/// Returns the records after `baseVersion` that changed one of the paths in `theirs`.
std::vector<peer::AuditRecord> conflictingRecords(const std::vector<peer::AuditRecord> &records,
                                                  std::uint64_t baseVersion,
                                                  const std::vector<settings::Difference> &theirs)
{
    std::vector<settings::Edit> paths;
    paths.reserve(theirs.size());
    for (const settings::Difference &difference : theirs)
        paths.push_back({ difference.path, std::nullopt });
    std::vector<peer::AuditRecord> found;
    for (const peer::AuditRecord &record : records) {
        if (record.toVersion > baseVersion && settings::changesOverlap(record.differences, paths))
            found.push_back(record);
    }
    return found;
}

} // namespace

struct AdminApi::Routes::Route
{
    std::string_view method;
    std::string_view path;
    /// Whether the route matches every path that begins with `path`.
    bool isPrefix;
    Handler handler;
};

AdminApi::Routes::Routes(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_auth(*m_dependencies.store, *m_dependencies.keeper, m_dependencies.bootstrapKeyHash)
    , m_metrics(Metrics::createIn(m_dependencies.metrics))
{ }

AdminApi::Routes::~Routes() = default;

const AdminApi::Routes::Route *AdminApi::Routes::findRoute(const HttpRequest &request)
{
    static constexpr std::array Table {
        Route { "GET", "/settings", false, &Routes::getSettings },
        Route { "GET", VersionsPath, true, &Routes::getVersion },
        Route { "GET", "/settings/effective", false, &Routes::getEffective },
        Route { "POST", "/settings/changes", false, &Routes::postChange },
        Route { "GET", "/audit", false, &Routes::getAudit },
        Route { "GET", "/status", false, &Routes::getStatus },
        Route { "POST", "/drain", false, &Routes::postDrain },
    };
    const std::string_view path = request.path();
    for (const Route &route : Table) {
        const bool matchesPath = route.isPrefix ? path.starts_with(route.path) : path == route.path;
        if (matchesPath && request.method == route.method)
            return &route;
    }
    return nullptr;
}

AdminApi::Routes::Answer AdminApi::Routes::answer(const HttpRequest &request)
{
    try {
        co_return co_await dispatch(request);
    } catch (const std::exception &unexpected) {
        logEvent(events::UnexpectedException, { { "what", unexpected.what() } });
    }
    const Error error { ErrorKind::Internal,
                        "internal error on this instance; see event 190 in its log" };
    co_return refusal(error);
}

AdminApi::Routes::Answer AdminApi::Routes::dispatch(const HttpRequest &request)
{
    if (request.path() == MetricsPath && request.method == "GET")
        co_return metrics();
    auto who = co_await m_auth.authenticate(request);
    if (!who)
        co_return refusal(who.error());
    const Route *route = findRoute(request);
    if (!route) {
        const Error error { ErrorKind::NotFound,
                            "no route " + request.method + " " + std::string(request.path())
                                + "; the routes are listed in docs/snipestallctl.md" };
        co_return refusal(error);
    }
    const Call call { request, std::move(*who) };
    co_return co_await (this->*route->handler)(call);
}

// Operators must be able to see the settings in force during an outage of the platform. A change
// that is based on them is then refused by the store, not here.
AdminApi::Routes::Answer AdminApi::Routes::getSettings(const Call &)
{
    const auto head = co_await m_dependencies.store->head();
    if (head)
        co_return settingsReply(*head, true);
    if (m_dependencies.keeper->version() == 0)
        co_return refusal(head.error());
    co_return settingsReply(m_dependencies.keeper->document(), false);
}

AdminApi::Routes::Answer AdminApi::Routes::getVersion(const Call &call)
{
    const auto version = versionIn(call.request.path());
    if (!version) {
        const Error error {
            ErrorKind::InvalidArgument,
            "the version must be a whole number; list versions with snipestallctl history"
        };
        co_return refusal(error);
    }
    const auto document = co_await m_dependencies.store->version(*version);
    if (!document)
        co_return refusal(document.error());
    co_return settingsReply(*document, true);
}

AdminApi::Routes::Answer AdminApi::Routes::getEffective(const Call &call)
{
    const peer::SettingsDocument document = m_dependencies.keeper->document();
    const auto tree = settings::Tree::parse(document.yaml);
    if (!tree) {
        const Error error {
            ErrorKind::NotFound,
            "no settings are in force yet; apply some with snipestallctl apply -f FILE"
        };
        co_return refusal(error);
    }
    settings::EffectiveQuery query { call.request.query("data_centre"),
                                     call.request.query("customer"),
                                     call.request.query("service") };
    if (query.dataCentre.empty())
        query.dataCentre = m_dependencies.status->status().dataCentre;
    const auto values = settings::explainEffective(*tree, query);
    if (values.empty())
        co_return refusal(noValuesError(query));
    const auto message = effectiveMessage(document.version, query.dataCentre, values);
    co_return HttpResponse::json(Ok, encodeEffective(message));
}

AdminApi::Routes::Answer AdminApi::Routes::postChange(const Call &call)
{
    auto change = decodeChange(call.request.body);
    if (!change)
        co_return refusal(change.error());
    if (const auto wrong = findInvalidText(*change))
        co_return refusal(*wrong);
    change->who = call.who;
    const std::string id = change->id;
    const std::uint64_t base = change->baseVersion;
    auto accepted = co_await m_dependencies.store->change(std::move(*change));
    if (!accepted)
        co_return co_await refuseChange(call.who, id, base, std::move(accepted.error()));
    m_dependencies.keeper->offer(*accepted);
    logEvent(events::OperatorChange,
             { { "operator", call.who },
               { "change", id },
               { "version", std::to_string(accepted->version) } });
    const AcceptedMessage message { accepted->version, accepted->hash };
    co_return HttpResponse::json(Ok, encodeAccepted(message));
}

AdminApi::Routes::Answer AdminApi::Routes::refuseChange(std::string who, std::string changeId,
                                                        std::uint64_t baseVersion,
                                                        peer::ChangeRefusal refused)
{
    constexpr std::size_t RecentRecords = 50;
    const bool isUnknown = refused.error.kind == ErrorKind::OutcomeUnknown;
    logEvent(isUnknown ? events::OperatorChangeUnknown : events::OperatorRefused,
             { { "operator", who }, { "change", changeId }, { "why", refused.error.message } });
    RefusalMessage message;
    message.error = std::move(refused.error);
    if (message.error.kind == ErrorKind::Unavailable)
        message.error.message = "not applied: the platform's table is unavailable ("
            + message.error.message + "); the settings in force remain; try again when it answers";
    message.faults = std::move(refused.faults);
    message.theirs = std::move(refused.theirs);
    message.currentVersion = refused.currentVersion;
    if (!message.theirs.empty()) {
        const auto recent = co_await m_dependencies.store->audit(0, RecentRecords);
        if (recent)
            message.changes = conflictingRecords(*recent, baseVersion, message.theirs);
    }
    co_return refusal(message);
}

AdminApi::Routes::Answer AdminApi::Routes::getAudit(const Call &call)
{
    auto query = parseAuditQuery(call.request, m_dependencies.clock->wallNow());
    if (!query)
        co_return refusal(query.error());
    const auto found = co_await findAudit(*m_dependencies.store, std::move(*query));
    if (!found)
        co_return refusal(found.error());
    co_return HttpResponse::json(Ok, encodeAudit(*found));
}

AdminApi::Routes::Answer AdminApi::Routes::getStatus(const Call &)
{
    co_return HttpResponse::json(Ok, encodeStatus(m_dependencies.status->status()));
}

AdminApi::Routes::Answer AdminApi::Routes::postDrain(const Call &call)
{
    logEvent(events::OperatorDrain, { { "operator", call.who } });
    m_dependencies.drain();
    co_return HttpResponse::json(Accepted, encodeStatus(m_dependencies.status->status()));
}

HttpResponse AdminApi::Routes::metrics()
{
    if (m_dependencies.beforeMetrics)
        m_dependencies.beforeMetrics();
    const InstanceStatus status = m_dependencies.status->status();
    m_metrics->updateFrom(status);
    if (const auto view = m_dependencies.keeper->effective())
        m_metrics->setCosts(status, view->classes);
    HttpResponse response;
    response.fields.set("Content-Type", "text/plain; version=0.0.4");
    response.body = prometheus::TextSerializer().Serialize(m_dependencies.metrics->Collect());
    return response;
}

} // namespace snipestall::admin
