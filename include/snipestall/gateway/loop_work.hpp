#pragma once

#include <chrono>
#include <cstddef>

namespace snipestall::gateway {

/// Work that the I/O loop has done since it was last reported.
struct LoopWork
{
    std::size_t requestsRead = 0;
    /// Reports of peers that were processed, and the time that processing and answering them took.
    std::size_t reports = 0;
    std::chrono::steady_clock::duration reportTime { 0 };
    /// Changed rows of the store's tables.
    std::size_t rows = 0;
};

} // namespace snipestall::gateway
