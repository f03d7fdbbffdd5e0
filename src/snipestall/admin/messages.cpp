#include "snipestall/admin/messages.hpp"

#include "json_parts.hpp"

#include <array>

namespace snipestall::admin {

namespace json = boost::json;
using json::object;

namespace {

json::object writeEdit(const settings::Edit &edit)
{
    return { { "path", edit.path }, { "value", textOrNull(edit.value) } };
}

settings::Edit readEdit(const object &from)
{
    return { textAt(from, "path"), optionalTextAt(from, "value") };
}

json::object writeFault(const settings::Fault &fault)
{
    return { { "path", fault.path }, { "found", fault.found }, { "allowed", fault.allowed } };
}

settings::Fault readFault(const object &from)
{
    return { textAt(from, "path"), textAt(from, "found"), textAt(from, "allowed") };
}

json::object writeDifference(const settings::Difference &difference)
{
    return { { "path", difference.path },
             { "before", textOrNull(difference.before) },
             { "after", textOrNull(difference.after) } };
}

settings::Difference readDifference(const object &from)
{
    return { textAt(from, "path"), optionalTextAt(from, "before"), optionalTextAt(from, "after") };
}

json::object writeAudit(const peer::AuditRecord &record)
{
    using std::chrono::milliseconds;
    const auto at = std::chrono::duration_cast<milliseconds>(record.at.time_since_epoch());
    return { { "change_id", record.changeId },
             { "who", record.who },
             { "reason", record.reason },
             { "at_ms", at.count() },
             { "from_version", record.fromVersion },
             { "to_version", record.toVersion },
             { "differences", arrayOf(record.differences, writeDifference) } };
}

peer::AuditRecord readAudit(const object &from)
{
    peer::AuditRecord record;
    record.changeId = textAt(from, "change_id");
    record.who = textAt(from, "who");
    record.reason = textAt(from, "reason");
    record.at = std::chrono::system_clock::time_point(millisecondsAt(from, "at_ms"));
    record.fromVersion = numberAt(from, "from_version");
    record.toVersion = numberAt(from, "to_version");
    record.differences = listAt(from, "differences", readDifference);
    return record;
}

json::object writeValue(const EffectiveValue &value)
{
    return { { "path", value.path }, { "value", value.value }, { "from", value.from } };
}

EffectiveValue readValue(const object &from)
{
    return { textAt(from, "path"), textAt(from, "value"), textAt(from, "from") };
}

constexpr std::array ErrorKinds {
    ErrorKind::InvalidArgument,  ErrorKind::Unauthenticated, ErrorKind::PermissionDenied,
    ErrorKind::NotFound,         ErrorKind::Conflict,        ErrorKind::TooLarge,
    ErrorKind::Exhausted,        ErrorKind::Unavailable,     ErrorKind::OutcomeUnknown,
    ErrorKind::DeadlineExceeded,
};

ErrorKind errorKindOf(std::string_view text)
{
    for (const ErrorKind kind : ErrorKinds) {
        if (toString(kind) == text)
            return kind;
    }
    return ErrorKind::Internal;
}

peer::SettingsChange readChange(const object &from)
{
    peer::SettingsChange change;
    change.id = textAt(from, "id");
    change.baseVersion = numberAt(from, "base_version");
    change.reason = optionalTextAt(from, "reason").value_or("");
    change.edits = listAt(from, "edits", readEdit);
    change.yaml = optionalTextAt(from, "yaml").value_or("");
    return change;
}

SettingsMessage readSettings(const object &from)
{
    SettingsMessage message;
    message.document.version = numberAt(from, "version");
    message.document.hash = textAt(from, "hash");
    message.document.yaml = textAt(from, "yaml");
    message.fromTable = flagAt(from, "from_table");
    return message;
}

AcceptedMessage readAccepted(const object &from)
{
    return { numberAt(from, "version"), textAt(from, "hash") };
}

RefusalMessage readRefusal(const object &from)
{
    const object &error = from.at("error").as_object();
    RefusalMessage message;
    message.error = { errorKindOf(textAt(error, "kind")), textAt(error, "message") };
    message.faults = listAt(error, "faults", readFault);
    message.theirs = listAt(error, "theirs", readDifference);
    message.changes = listAt(error, "changes", readAudit);
    if (error.contains("current_version"))
        message.currentVersion = numberAt(error, "current_version");
    return message;
}

AuditMessage readAuditPage(const object &from)
{
    return { listAt(from, "records", readAudit), numberAt(from, "before") };
}

EffectiveMessage readEffective(const object &from)
{
    return { numberAt(from, "version"), textAt(from, "data_centre"),
             listAt(from, "values", readValue) };
}

} // namespace

std::string encodeChange(const peer::SettingsChange &change)
{
    object body { { "id", change.id },
                  { "base_version", change.baseVersion },
                  { "reason", change.reason } };
    if (change.yaml.empty())
        body["edits"] = arrayOf(change.edits, writeEdit);
    else
        body["yaml"] = change.yaml;
    return json::serialize(body);
}

Result<peer::SettingsChange> decodeChange(std::string_view body)
{
    return decode(body, readChange);
}

std::string encodeSettings(const SettingsMessage &message)
{
    const object body { { "version", message.document.version },
                        { "hash", message.document.hash },
                        { "from_table", message.fromTable },
                        { "yaml", message.document.yaml } };
    return json::serialize(body);
}

Result<SettingsMessage> decodeSettings(std::string_view body)
{
    return decode(body, readSettings);
}

std::string encodeAccepted(const AcceptedMessage &message)
{
    const object body { { "version", message.version }, { "hash", message.hash } };
    return json::serialize(body);
}

Result<AcceptedMessage> decodeAccepted(std::string_view body)
{
    return decode(body, readAccepted);
}

std::string encodeRefusal(const RefusalMessage &message)
{
    object error { { "kind", toString(message.error.kind) }, { "message", message.error.message } };
    if (!message.faults.empty())
        error["faults"] = arrayOf(message.faults, writeFault);
    if (!message.theirs.empty())
        error["theirs"] = arrayOf(message.theirs, writeDifference);
    if (!message.changes.empty())
        error["changes"] = arrayOf(message.changes, writeAudit);
    if (message.currentVersion > 0)
        error["current_version"] = message.currentVersion;
    const object body { { "error", std::move(error) } };
    return json::serialize(body);
}

Result<RefusalMessage> decodeRefusal(std::string_view body)
{
    return decode(body, readRefusal);
}

std::string encodeAudit(const AuditMessage &message)
{
    const object body { { "records", arrayOf(message.records, writeAudit) },
                        { "before", message.before } };
    return json::serialize(body);
}

Result<AuditMessage> decodeAudit(std::string_view body)
{
    return decode(body, readAuditPage);
}

std::string encodeEffective(const EffectiveMessage &message)
{
    const object body { { "version", message.version },
                        { "data_centre", message.dataCentre },
                        { "values", arrayOf(message.values, writeValue) } };
    return json::serialize(body);
}

Result<EffectiveMessage> decodeEffective(std::string_view body)
{
    return decode(body, readEffective);
}

} // namespace snipestall::admin
