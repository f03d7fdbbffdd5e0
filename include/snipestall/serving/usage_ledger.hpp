#pragma once

#include "snipestall/serving/usage_windows.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace snipestall::serving {

/// The counts of all processes for each window, gathered from what each said itself and from what
/// was stored.
///
/// Failure: a process is killed, or cut off from the store, before it has stored its counts; it
/// shows as a usage report that is too low. Peers therefore remember what each process last said.
/// A process's count of a window only grows, so the greater of two statements is the newer one.
class UsageLedger
{
public:
    void said(std::int64_t window, const std::string &process, const UsageCounts &counts);
    [[nodiscard]] bool knows(std::int64_t window, const std::string &process) const;
    /// What each process said of a window.
    [[nodiscard]] std::map<std::string, UsageCounts> of(std::int64_t window) const;
    /// Sum over all processes.
    [[nodiscard]] UsageCounts total(std::int64_t window) const;
    void dropBefore(std::int64_t window);

private:
    std::map<std::int64_t, std::map<std::string, UsageCounts>> m_windows;
};

} // namespace snipestall::serving
