#include "engine/attempt_log.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <array>

namespace snipestall::standins {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 5> EndNames { "running", "completed", "cancelled", "cut",
                                                     "refused" };

json::object recordOf(const Attempt &attempt)
{
    const auto arrived =
        std::chrono::duration_cast<std::chrono::milliseconds>(attempt.arrived.time_since_epoch());
    json::object object;
    object["request"] = attempt.request;
    object["attempt"] = attempt.id;
    object["from"] = attempt.from;
    object["produced"] = attempt.produced;
    object["prefilled"] = attempt.prefilledTokens;
    object["ended"] = EndNames.at(static_cast<std::size_t>(attempt.ended));
    object["arrived_ms"] = arrived.count();
    if (attempt.afterNotice)
        object["after_notice_ms"] = attempt.afterNotice->count();
    return object;
}

} // namespace

AttemptLog::AttemptLog(const std::string &file)
{
    if (!file.empty())
        m_file.open(file, std::ios::app);
}

void AttemptLog::recordArrival(const AttemptPtr &attempt)
{
    m_attempts.push_back(attempt);
    writeLine(*attempt);
}

void AttemptLog::recordEnd(const Attempt &attempt)
{
    writeLine(attempt);
}

void AttemptLog::writeLine(const Attempt &attempt)
{
    if (m_file.is_open())
        m_file << json::serialize(recordOf(attempt)) << std::endl;
}

AttemptPtr AttemptLog::find(const std::string &id) const
{
    for (const auto &attempt : m_attempts) {
        if (attempt->id == id)
            return attempt;
    }
    return nullptr;
}

json::array AttemptLog::toJson() const
{
    json::array array;
    for (const auto &attempt : m_attempts)
        array.push_back(recordOf(*attempt));
    return array;
}

} // namespace snipestall::standins
