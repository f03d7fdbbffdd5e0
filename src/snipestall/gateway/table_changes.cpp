#include "snipestall/gateway/table_changes.hpp"

#include "snipestall/wire/delta.hpp"

#include "exchange.pb.h"

#include <utility>

namespace snipestall::gateway {

namespace v1 = exchange::v1;

namespace {

/// Far more than all rows of a table. Limits the memory that a faulty peer can occupy.
constexpr std::size_t MaxChangesBytes = std::size_t { 32 } << 20;

} // namespace

std::string encodeChanges(const TableChanges &changes)
{
    v1::TableChanges message;
    message.set_from(changes.from);
    message.set_to(changes.to);
    for (const RowChange &row : changes.rows) {
        v1::TableRow *entry = message.add_rows();
        entry->set_key(row.key);
        entry->set_version(row.version);
        entry->set_removed(row.removed);
        entry->set_value(row.value);
        if (row.baseVersion)
            entry->set_base_version(*row.baseVersion);
    }
    return wire::compress(message.SerializeAsString());
}

Result<TableChanges> decodeChanges(std::string_view encoded)
{
    const auto bytes = wire::decompress(encoded, MaxChangesBytes);
    if (!bytes)
        return tl::unexpected<Error>(bytes.error());
    v1::TableChanges message;
    if (!message.ParseFromString(*bytes))
        return fail(ErrorKind::InvalidArgument,
                    "the changes of a table can't be parsed; read them from the store");
    TableChanges changes { message.from(), message.to(), {} };
    for (const v1::TableRow &entry : message.rows()) {
        RowChange row { entry.key(), entry.version(), entry.removed(), std::nullopt,
                        entry.value() };
        if (entry.has_base_version())
            row.baseVersion = entry.base_version();
        changes.rows.push_back(std::move(row));
    }
    return changes;
}

} // namespace snipestall::gateway
