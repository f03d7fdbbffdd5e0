#pragma once

#include <boost/json/array.hpp>

#include <cstdint>
#include <fstream>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace snipestall::standins {

/// One execution of a call, that is, a call that took effect.
struct Run
{
    std::string key;
    std::string request;
    std::string attempt;
    /// Milliseconds from the service's reclaim notice to the call; empty before a notice.
    std::optional<std::int64_t> afterNoticeMs;
};

/// Counts how often each idempotency key, or request without a key, took effect. Tests use the
/// counts to check at-most-once execution.
class RunLog
{
public:
    /// If `file` is empty, the records are kept in memory only and are lost when the process ends.
    explicit RunLog(const std::string &file);

    /// Records the run and returns how often its key or request has taken effect so far.
    std::int64_t add(const Run &run);
    [[nodiscard]] boost::json::array toJson() const;

private:
    struct Entry
    {
        Run last;
        std::int64_t count = 0;
    };

    std::map<std::string, Entry> m_entries;
    std::ofstream m_file;
};

} // namespace snipestall::standins
