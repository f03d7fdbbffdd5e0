#pragma once

#include "snipestall/wire/task.hpp"

#include <memory>

namespace snipestall::peer {

class ClaimContext;

/// Removes the claims of one batch row that is older than the lifetime: one scan, one read and one
/// transaction a call, so that expiry stays inside the table's write budget however much is due.
wire::Task<void> removeExpiredBatch(std::shared_ptr<ClaimContext> context);

} // namespace snipestall::peer
