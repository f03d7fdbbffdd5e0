#pragma once

#include "snipestall/admin/instance_status.hpp"
#include "snipestall/base/result.hpp"
#include "snipestall/peer/audit_record.hpp"
#include "snipestall/peer/settings_change.hpp"
#include "snipestall/peer/settings_document.hpp"
#include "snipestall/settings/fault.hpp"
#include "snipestall/settings/resolved_value.hpp"

#include <string>
#include <string_view>
#include <vector>

// Typed messages for the JSON bodies of the operators' HTTP API. Each decode function fails with
// InvalidArgument and names the member that is missing or has the wrong type.

namespace snipestall::admin {

/// Answer to `GET /settings` and `GET /settings/versions/N`.
struct SettingsMessage
{
    peer::SettingsDocument document;
    /// False if the platform did not answer, so that `document` holds the settings in force on the
    /// answering instance.
    bool fromTable = true;
};

/// Answer to an accepted change: the version that it created.
struct AcceptedMessage
{
    std::uint64_t version = 0;
    std::string hash;
};

/// Answer to every refused request: the error and the details that its sender needs to correct it.
struct RefusalMessage
{
    Error error;
    /// All faults of the settings that the change would have produced.
    std::vector<settings::Fault> faults;
    /// What other operators have changed on the same paths since the base version.
    std::vector<settings::Difference> theirs;
    /// Audit records of those changes, newest first.
    std::vector<peer::AuditRecord> changes;
    /// Newest version of the settings; 0 if the answer does not give it.
    std::uint64_t currentVersion = 0;
};

/// A page of the audit trail, newest first.
struct AuditMessage
{
    std::vector<peer::AuditRecord> records;
    /// Records that led to a version below this one were not searched; to continue, repeat the
    /// query with this value as `before`. 0: all were searched.
    std::uint64_t before = 0;
};

/// One value in force, formatted as text, and the level of the settings that sets it.
struct EffectiveValue
{
    std::string path;
    std::string value;
    std::string from;
};

/// Answer to `GET /settings/effective`.
struct EffectiveMessage
{
    std::uint64_t version = 0;
    std::string dataCentre;
    std::vector<EffectiveValue> values;
};

/// Omits `who`, because the server derives it from the operator's key.
std::string encodeChange(const peer::SettingsChange &change);
Result<peer::SettingsChange> decodeChange(std::string_view body);

std::string encodeSettings(const SettingsMessage &message);
Result<SettingsMessage> decodeSettings(std::string_view body);

std::string encodeAccepted(const AcceptedMessage &message);
Result<AcceptedMessage> decodeAccepted(std::string_view body);

std::string encodeRefusal(const RefusalMessage &message);
Result<RefusalMessage> decodeRefusal(std::string_view body);

std::string encodeAudit(const AuditMessage &message);
Result<AuditMessage> decodeAudit(std::string_view body);

std::string encodeEffective(const EffectiveMessage &message);
Result<EffectiveMessage> decodeEffective(std::string_view body);

std::string encodeStatus(const InstanceStatus &status);
Result<InstanceStatus> decodeStatus(std::string_view body);

} // namespace snipestall::admin
