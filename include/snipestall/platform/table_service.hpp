#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/platform/transaction.hpp"
#include "snipestall/wire/task.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace snipestall::platform {

/// The platform's transactional table. Errors: Unavailable (it had no effect), OutcomeUnknown and
/// DeadlineExceeded (a write may have taken effect: read the rows back before anything else).
class TableService
{
public:
    virtual ~TableService() = default;

    virtual wire::Task<Result<TransactionOutcome>> transact(Transaction transaction) = 0;
    /// Rows that exist, in the order of the keys; absent ones are left out.
    virtual wire::Task<Result<std::vector<Row>>> read(std::vector<RowKey> keys) = 0;
    /// Up to `limit` rows whose key begins with `prefix` and is greater than `after`, by key.
    virtual wire::Task<Result<std::vector<Row>>> scan(std::string table, std::string prefix,
                                                      std::string after, std::size_t limit) = 0;
};

} // namespace snipestall::platform
