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

/// Filter of the audit trail; an empty member does not restrict the result.
struct AuditQuery
{
    std::optional<WallTime> since;
    std::string path;
    std::string who;
    /// Only changes that led to a version below this one; 0: all changes.
    std::uint64_t before = 0;
    std::size_t limit = 50;
};

/// Reads the filter from the request's query; ages in it are relative to `now`. Fails with
/// InvalidArgument for a parameter that can't be parsed.
Result<AuditQuery> parseAuditQuery(const wire::HttpRequest &request, WallTime now);

/// Reads pages of the audit trail, newest first, until it has found `limit` records or reaches
/// `since`, the oldest record or a maximum of 2000 rows. `before` of the result tells where to
/// continue; 0: all was searched. Fails with the error of the store.
wire::Task<Result<AuditMessage>> findAudit(peer::SettingsStore &store, AuditQuery query);

} // namespace snipestall::admin
