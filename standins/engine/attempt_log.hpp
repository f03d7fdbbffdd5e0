#pragma once

#include "engine/attempt.hpp"

#include <boost/json/array.hpp>

#include <fstream>
#include <string>
#include <vector>

namespace snipestall::standins {

/// Every attempt whose body arrived: the judge of what was run.
class AttemptLog
{
public:
    /// Without a file the records die with the process.
    explicit AttemptLog(const std::string &file);

    void arrived(const AttemptPtr &attempt);
    void ended(const Attempt &attempt);
    [[nodiscard]] AttemptPtr find(const std::string &id) const;
    [[nodiscard]] const std::vector<AttemptPtr> &all() const { return m_attempts; }
    [[nodiscard]] boost::json::array toJson() const;

private:
    void writeLine(const Attempt &attempt);

    std::vector<AttemptPtr> m_attempts;
    std::ofstream m_file;
};

} // namespace snipestall::standins
