#pragma once

#include "engine/attempt.hpp"

#include <boost/json/array.hpp>

#include <fstream>
#include <string>
#include <vector>

namespace snipestall::standins {

/// Records every attempt whose request body arrived. Tests use it to check what was run.
class AttemptLog
{
public:
    /// If `file` is empty, the records are kept in memory only and are lost when the process ends.
    explicit AttemptLog(const std::string &file);

    void recordArrival(const AttemptPtr &attempt);
    void recordEnd(const Attempt &attempt);
    [[nodiscard]] AttemptPtr find(const std::string &id) const;
    [[nodiscard]] const std::vector<AttemptPtr> &all() const { return m_attempts; }
    [[nodiscard]] boost::json::array toJson() const;

private:
    void writeLine(const Attempt &attempt);

    std::vector<AttemptPtr> m_attempts;
    std::ofstream m_file;
};

} // namespace snipestall::standins
