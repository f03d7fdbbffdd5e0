#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace snipestall::serving {

/// Number of requests that servers have started, by customer.
using UsageCounts = std::map<std::string, std::uint64_t>;

/// Counts the requests that backend servers have started for each customer, in windows of corrected
/// wall-clock time.
class UsageWindows
{
public:
    explicit UsageWindows(std::chrono::milliseconds length)
        : m_length(length)
    { }

    /// Number of the window that contains a time.
    [[nodiscard]] std::int64_t windowOf(WallTime time) const;
    /// End of a window.
    [[nodiscard]] WallTime endOf(std::int64_t window) const;

    /// A server started a request of `customer` at `time`.
    void requestStarted(const std::string &customer, WallTime time);
    /// The counts of a window; empty if no request was started in it.
    [[nodiscard]] UsageCounts counts(std::int64_t window) const;
    [[nodiscard]] const std::map<std::int64_t, UsageCounts> &all() const { return m_windows; }
    /// Drops the windows before this one.
    void dropBefore(std::int64_t window);

private:
    std::chrono::milliseconds m_length;
    std::map<std::int64_t, UsageCounts> m_windows;
};

} // namespace snipestall::serving
