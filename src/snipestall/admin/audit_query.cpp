#include "audit_query.hpp"

#include "snipestall/admin/time_text.hpp"
#include "snipestall/peer/settings_store.hpp"
#include "snipestall/settings/edit.hpp"
#include "snipestall/settings/tree_edits.hpp"
#include "snipestall/wire/http_request.hpp"

#include <algorithm>
#include <charconv>
#include <span>

namespace snipestall::admin {
namespace {

/// The table serves about 2000 reads per second to all instances together; these limits keep one
/// query to a small part of them.
constexpr std::size_t RowsPerPage = 100;
constexpr std::size_t MaxPages = 20;
constexpr std::size_t MaxRecords = 1000;
constexpr std::uint64_t OldestVersion = 1;

Result<std::uint64_t> numberParameter(const wire::HttpRequest &request, std::string_view name,
                                      std::uint64_t defaultValue)
{
    const std::string text = request.query(name);
    if (text.empty())
        return defaultValue;
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc {} || rest != end)
        return fail(ErrorKind::InvalidArgument,
                    std::string(name) + "=" + text + " is not a number; write a whole number");
    return number;
}

bool matches(const AuditQuery &query, const peer::AuditRecord &record)
{
    if (!query.who.empty() && record.who != query.who)
        return false;
    if (query.path.empty())
        return true;
    const settings::Edit pathEdit { query.path, std::nullopt };
    return settings::changesOverlap(record.differences, std::span(&pathEdit, 1));
}

/// Adds the matching records of a page to `found`; returns false if no older page is needed.
bool addPage(const AuditQuery &query, std::vector<peer::AuditRecord> page, AuditMessage &found)
{
    for (peer::AuditRecord &record : page) {
        if (query.since && record.at < *query.since) {
            found.before = 0;
            return false;
        }
        if (found.records.size() == query.limit)
            return false;
        found.before = record.toVersion;
        if (matches(query, record))
            found.records.push_back(std::move(record));
    }
    return true;
}

} // namespace

Result<AuditQuery> parseAuditQuery(const wire::HttpRequest &request, WallTime now)
{
    AuditQuery query;
    query.path = request.query("path");
    query.who = request.query("who");
    const std::string since = request.query("since");
    if (!since.empty()) {
        const auto time = parseTime(since, now);
        if (!time)
            return tl::unexpected<Error>(time.error());
        query.since = *time;
    }
    const auto before = numberParameter(request, "before", 0);
    const auto limit = numberParameter(request, "limit", query.limit);
    if (!before || !limit)
        return tl::unexpected<Error>(before ? limit.error() : before.error());
    query.before = *before;
    query.limit = std::clamp<std::size_t>(*limit, 1, MaxRecords);
    return query;
}

wire::Task<Result<AuditMessage>> findAudit(peer::SettingsStore &store, AuditQuery query)
{
    AuditMessage found;
    std::uint64_t before = query.before;
    for (std::size_t pages = 0; pages < MaxPages; ++pages) {
        auto page = co_await store.audit(before, RowsPerPage);
        if (!page)
            co_return tl::unexpected<Error>(page.error());
        const bool isLast = page->size() < RowsPerPage;
        const bool needsOlder = addPage(query, std::move(*page), found);
        if (!needsOlder)
            break;
        if (isLast) {
            found.before = 0;
            break;
        }
        before = found.before;
    }
    if (found.before == OldestVersion)
        found.before = 0;
    co_return found;
}

} // namespace snipestall::admin
