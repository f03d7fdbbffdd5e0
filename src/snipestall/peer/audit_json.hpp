#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/peer/audit_record.hpp"

#include <string>

namespace snipestall::peer {

/// Encodes the value of an audit row.
std::string encodeAudit(const AuditRecord &record);
/// Decodes the value of an audit row. Internal if it is damaged.
Result<AuditRecord> decodeAudit(const std::string &text);

} // namespace snipestall::peer
