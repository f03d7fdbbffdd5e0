#include "rollout_row.hpp"

#include "duty_rows.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace snipestall::gateway {

namespace json = boost::json;

namespace {

std::string textOf(const json::object &object, const char *name)
{
    const json::value *found = object.if_contains(name);
    return found != nullptr && found->is_string() ? std::string(found->get_string())
                                                  : std::string();
}

} // namespace

std::string encodeRollout(const serving::RolloutRecord &record, const std::set<std::string> &barred)
{
    json::array versions;
    for (const std::string &version : barred)
        versions.emplace_back(version);
    return json::serialize(json::object { { "order", record.order },
                                          { "version", record.version },
                                          { "step", toString(record.step) },
                                          { "number", record.number },
                                          { "seen_at_ms", record.seenAt.count() },
                                          { "arrived", record.arrived },
                                          { "exposed", record.exposed },
                                          { "doubt", record.doubt },
                                          { "barred", std::move(versions) } });
}

void decodeRollout(const std::string &text, serving::RolloutRecord &record,
                   std::set<std::string> &barred)
{
    const auto object = parseObject(text);
    if (!object)
        return;
    const auto numbers = decodeNumbers<double>(text);
    const auto numberOf = [&numbers](const char *name) {
        const auto found = numbers.find(name);
        return found == numbers.end() ? 0.0 : found->second;
    };
    record.order = static_cast<std::int64_t>(numberOf("order"));
    record.version = textOf(*object, "version");
    record.step = serving::rolloutStepOf(textOf(*object, "step"));
    record.number = static_cast<std::uint64_t>(numberOf("number"));
    record.seenAt = std::chrono::milliseconds(static_cast<std::int64_t>(numberOf("seen_at_ms")));
    record.arrived = numberOf("arrived");
    record.exposed = numberOf("exposed");
    record.doubt = numberOf("doubt");
    const json::value *versions = object->if_contains("barred");
    if (versions == nullptr || !versions->is_array())
        return;
    for (const json::value &version : versions->get_array()) {
        if (version.is_string())
            barred.emplace(version.get_string());
    }
}

} // namespace snipestall::gateway
