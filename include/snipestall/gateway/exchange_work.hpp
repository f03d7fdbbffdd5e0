#pragma once

#include <chrono>
#include <cstddef>

namespace snipestall::gateway {

/// Reports exchanged with other instances since they were last logged.
struct ExchangeWork
{
    /// Calls that ended, and those of them that got no answer in time or lost their connection.
    std::size_t calls = 0;
    std::size_t late = 0;
    std::size_t disconnected = 0;
    std::chrono::steady_clock::duration slowestAnswer { 0 };
    /// Bytes of the reports sent, with calls and with answers, and of the largest one.
    std::size_t bytes = 0;
    std::size_t largest = 0;
    /// Bytes of rows of the store's tables in these reports.
    std::size_t rowBytes = 0;
};

} // namespace snipestall::gateway
