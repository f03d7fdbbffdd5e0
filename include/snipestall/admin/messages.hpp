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

// The JSON bodies of the operators' HTTP API, as typed messages. Each decode fails with
// InvalidArgument, naming what is missing or of the wrong type.

namespace snipestall::admin {

/// Answer to a read of the settings.
struct SettingsMessage
{
    peer::SettingsDocument document;
    /// False when the platform does not answer and this is what the instance has in force.
    bool fromTable = true;
};

/// Answer to an accepted change.
struct AcceptedMessage
{
    std::uint64_t version = 0;
    std::string hash;
};

/// Answer to anything refused: the one envelope, with what is needed to go on.
struct RefusalMessage
{
    Error error;
    std::vector<settings::Fault> faults;
    /// What others changed on the same paths.
    std::vector<settings::Difference> theirs;
    /// Who changed them, when and why, newest first.
    std::vector<peer::AuditRecord> changes;
    std::uint64_t currentVersion = 0;
};

/// A page of the audit trail, newest first.
struct AuditMessage
{
    std::vector<peer::AuditRecord> records;
    /// Older rows than these were not looked at; ask again with `before`. 0: all were.
    std::uint64_t before = 0;
};

/// One value in force, already as text.
struct EffectiveValue
{
    std::string path;
    std::string value;
    std::string from;
};

/// Answer to a read of the values in force.
struct EffectiveMessage
{
    std::uint64_t version = 0;
    std::string dataCentre;
    std::vector<EffectiveValue> values;
};

/// `who` stays out: the server takes it from the key.
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
