#pragma once

#include "snipestall/admin/messages.hpp"
#include "snipestall/base/clock.hpp"
#include "snipestall/base/result.hpp"
#include "snipestall/wire/task.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace snipestall::peer {
class SettingsStore;
}
namespace snipestall::wire {
struct HttpRequest;
}

namespace snipestall::admin {

/// Which part of the audit trail is asked for; what is empty doesn't narrow it.
struct AuditQuery
{
    std::optional<WallTime> since;
    std::string path;
    std::string who;
    /// Only changes that led to a version below this one; 0: from the newest.
    std::uint64_t before = 0;
    std::size_t limit = 50;
};

Result<AuditQuery> parseAuditQuery(const wire::HttpRequest &request, WallTime now);

/// Reads pages until the limit, the time or the beginning is reached, at most some thousand rows;
/// `before` of the answer says where to go on.
wire::Task<Result<AuditMessage>> findAudit(peer::SettingsStore &store, AuditQuery query);

} // namespace snipestall::admin
