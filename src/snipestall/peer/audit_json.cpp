#include "snipestall/peer/audit_json.hpp"

#include <boost/json.hpp>

#include <utility>

namespace snipestall::peer {

namespace json = boost::json;

namespace {

json::value nullableString(const std::optional<std::string> &text)
{
    return text ? json::value(*text) : json::value(nullptr);
}

std::optional<std::string> optionalString(const json::value &value)
{
    if (!value.is_string())
        return std::nullopt;
    return std::string(value.as_string());
}

json::object toJson(const settings::Difference &difference)
{
    return { { "path", difference.path },
             { "before", nullableString(difference.before) },
             { "after", nullableString(difference.after) } };
}

settings::Difference decodeDifference(const json::object &object)
{
    return { std::string(object.at("path").as_string()), optionalString(object.at("before")),
             optionalString(object.at("after")) };
}

AuditRecord decodeRecord(const json::object &object)
{
    AuditRecord record;
    record.changeId = std::string(object.at("change").as_string());
    record.who = std::string(object.at("who").as_string());
    record.reason = std::string(object.at("reason").as_string());
    const std::chrono::milliseconds at(object.at("at_ms").to_number<std::int64_t>());
    record.at = std::chrono::system_clock::time_point(at);
    record.fromVersion = object.at("from").to_number<std::uint64_t>();
    record.toVersion = object.at("to").to_number<std::uint64_t>();
    for (const json::value &item : object.at("differences").as_array())
        record.differences.push_back(decodeDifference(item.as_object()));
    return record;
}

} // namespace

std::string encodeAudit(const AuditRecord &record)
{
    using std::chrono::milliseconds;
    json::array differences;
    for (const settings::Difference &difference : record.differences)
        differences.push_back(toJson(difference));
    json::object object;
    object["change"] = record.changeId;
    object["who"] = record.who;
    object["reason"] = record.reason;
    object["at_ms"] =
        std::chrono::duration_cast<milliseconds>(record.at.time_since_epoch()).count();
    object["from"] = record.fromVersion;
    object["to"] = record.toVersion;
    object["differences"] = std::move(differences);
    return json::serialize(object);
}

Result<AuditRecord> decodeAudit(const std::string &text)
{
    try {
        return decodeRecord(json::parse(text).as_object());
    } catch (const std::exception &damaged) {
        return fail(ErrorKind::Internal,
                    std::string("can't decode an audit row: ") + damaged.what()
                        + "; inspect the row in the platform's table");
    }
}

} // namespace snipestall::peer
