#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/platform/transaction.hpp"
#include "snipestall/wire/task.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace snipestall::platform {

/// The platform's transactional tables. Errors: Unavailable (the call had no effect);
/// OutcomeUnknown and DeadlineExceeded (a write may have taken effect: read the rows back before
/// any other step).
class TableService
{
public:
    virtual ~TableService() = default;

    /// Commits the transaction if its conditions hold. An unmet condition is no error; see
    /// TransactionOutcome.
    virtual wire::Task<Result<TransactionOutcome>> transact(Transaction transaction) = 0;
    /// Returns the rows that exist, in the order of `keys`; absent rows are left out.
    virtual wire::Task<Result<std::vector<Row>>> read(std::vector<RowKey> keys) = 0;
    /// Returns up to `limit` rows whose key begins with `prefix` and is greater than `after`, in
    /// the order of their keys.
    virtual wire::Task<Result<std::vector<Row>>> scan(std::string table, std::string prefix,
                                                      std::string after, std::size_t limit) = 0;
};

} // namespace snipestall::platform
