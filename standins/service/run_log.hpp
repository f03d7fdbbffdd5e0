#pragma once

#include <boost/json/array.hpp>

#include <cstdint>
#include <fstream>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace snipestall::standins {

/// One call that took effect.
struct Run
{
    std::string key;
    std::string request;
    std::string attempt;
    /// Time between the service's reclaim notice and the call.
    std::optional<std::int64_t> afterNoticeMs;
};

/// How often each key, or request without a key, took effect: the judge of "at most once".
class RunLog
{
public:
    /// Without a file the records die with the process.
    explicit RunLog(const std::string &file);

    /// Counts the run and tells how often it has taken effect by now.
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
