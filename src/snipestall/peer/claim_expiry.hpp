#pragma once

#include "snipestall/wire/task.hpp"

#include <memory>

namespace snipestall::peer {

class ClaimContext;

/// Removes the claims of batch rows that are older than the lifetime. Each call makes one scan, one
/// read and one transaction, so that expiry stays within the table's write budget however many rows
/// have expired.
wire::Task<void> removeExpiredClaims(std::shared_ptr<ClaimContext> context);

} // namespace snipestall::peer
