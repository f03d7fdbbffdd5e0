#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/peer/audit_record.hpp"

#include <string>

namespace snipestall::peer {

/// The audit row's value.
std::string encodeAudit(const AuditRecord &record);
/// Internal if the row is damaged.
Result<AuditRecord> decodeAudit(const std::string &text);

} // namespace snipestall::peer
