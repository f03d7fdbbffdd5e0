#pragma once

#include <chrono>
#include <cstddef>

namespace snipestall::gateway {

/// What the loop has handled since it was last reported.
struct LoopWork
{
    std::size_t requestsRead = 0;
    /// Peers' reports taken, and the time that taking and answering them took.
    std::size_t reports = 0;
    std::chrono::steady_clock::duration reportTime { 0 };
    /// Changed rows of the store's tables.
    std::size_t rows = 0;
};

} // namespace snipestall::gateway
