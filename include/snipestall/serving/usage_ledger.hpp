#pragma once

#include "snipestall/serving/usage_windows.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace snipestall::serving {

/// The usage counts of all processes for each window, collected from the reports of the processes
/// and from the store.
///
/// Failure: a process is killed, or cut off from the store, before it has stored its counts; it
/// shows as a usage report that is too low. Peers therefore keep what each process last reported.
/// The count of a process for a window only grows, so the greater of two reported counts is the
/// newer one.
class UsageLedger
{
public:
    /// Adds counts of a process, reported or stored.
    void addCounts(std::int64_t window, const std::string &process, const UsageCounts &counts);
    /// Whether any counts of a process for a window are known.
    [[nodiscard]] bool hasCounts(std::int64_t window, const std::string &process) const;
    /// The counts of each process for a window.
    [[nodiscard]] std::map<std::string, UsageCounts> countsByProcess(std::int64_t window) const;
    /// Sum over all processes.
    [[nodiscard]] UsageCounts total(std::int64_t window) const;
    /// Drops the windows before this one.
    void dropBefore(std::int64_t window);

private:
    std::map<std::int64_t, std::map<std::string, UsageCounts>> m_windows;
};

} // namespace snipestall::serving
