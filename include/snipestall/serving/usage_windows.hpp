#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace snipestall::serving {

/// Requests that began to run, by customer.
using UsageCounts = std::map<std::string, std::uint64_t>;

/// Counts the requests that backend servers began for each customer in windows of true time.
class UsageWindows
{
public:
    explicit UsageWindows(std::chrono::milliseconds length)
        : m_length(length)
    { }

    /// Number of the window that holds a time.
    [[nodiscard]] std::int64_t windowOf(WallTime time) const;
    [[nodiscard]] WallTime endOf(std::int64_t window) const;

    void began(const std::string &customer, WallTime time);
    /// Empty if nothing began.
    [[nodiscard]] UsageCounts counts(std::int64_t window) const;
    [[nodiscard]] const std::map<std::int64_t, UsageCounts> &all() const { return m_windows; }
    /// Drops windows before this one.
    void dropBefore(std::int64_t window);

private:
    std::chrono::milliseconds m_length;
    std::map<std::int64_t, UsageCounts> m_windows;
};

} // namespace snipestall::serving
