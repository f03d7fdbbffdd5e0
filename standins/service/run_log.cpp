#include "service/run_log.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace snipestall::standins {

namespace json = boost::json;

namespace {

json::object recordOf(const Run &run, std::int64_t count)
{
    json::object object;
    object["key"] = run.key;
    object["request"] = run.request;
    object["attempt"] = run.attempt;
    object["count"] = count;
    if (run.afterNoticeMs)
        object["after_notice_ms"] = *run.afterNoticeMs;
    return object;
}

} // namespace

RunLog::RunLog(const std::string &file)
{
    if (!file.empty())
        m_file.open(file, std::ios::app);
}

std::int64_t RunLog::add(const Run &run)
{
    const std::string name = run.key.empty() ? "request " + run.request : "key " + run.key;
    Entry &entry = m_entries[name];
    entry.last = run;
    ++entry.count;
    if (m_file.is_open())
        m_file << json::serialize(recordOf(run, 1)) << std::endl;
    return entry.count;
}

json::array RunLog::toJson() const
{
    json::array array;
    for (const auto &[name, entry] : m_entries)
        array.push_back(recordOf(entry.last, entry.count));
    return array;
}

} // namespace snipestall::standins
