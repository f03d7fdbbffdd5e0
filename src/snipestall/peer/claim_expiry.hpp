#pragma once

#include "snipestall/wire/task.hpp"

#include <memory>

namespace snipestall::peer {

class ClaimContext;

/// Removes claims of batch rows that are older than the lifetime: one scan, one read and one
/// transaction a call, so that expiry stays inside the table's write budget however much is due.
wire::Task<void> removeExpiredClaims(std::shared_ptr<ClaimContext> context);

} // namespace snipestall::peer
