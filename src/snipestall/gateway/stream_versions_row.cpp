#include "stream_versions_row.hpp"

#include "duty_rows.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>
#include <optional>

namespace snipestall::gateway {

namespace json = boost::json;

namespace {

constexpr auto VersionsField = "versions";
constexpr auto ServiceField = "service";
constexpr auto VersionField = "version";
constexpr auto SettledField = "settled";
constexpr auto UnlistedField = "unlisted_since_ms";

std::optional<serving::RegisteredVersion> decodeVersion(const json::value &value)
{
    const json::object *entry = value.if_object();
    if (entry == nullptr)
        return std::nullopt;
    const json::value *service = entry->if_contains(ServiceField);
    const json::value *version = entry->if_contains(VersionField);
    if (service == nullptr || version == nullptr || !service->is_string() || !version->is_string())
        return std::nullopt;
    serving::RegisteredVersion decoded;
    decoded.origin = { std::string(service->get_string()), std::string(version->get_string()) };
    const json::value *settled = entry->if_contains(SettledField);
    decoded.settled = settled != nullptr && settled->is_bool() && settled->get_bool();
    if (const json::value *unlisted = entry->if_contains(UnlistedField);
        unlisted != nullptr && unlisted->is_int64())
        decoded.unlistedSince = std::chrono::milliseconds(unlisted->get_int64());
    return decoded;
}

} // namespace

std::string encodeVersions(const std::vector<serving::RegisteredVersion> &versions)
{
    json::array entries;
    for (const serving::RegisteredVersion &each : versions) {
        json::object entry { { ServiceField, each.origin.service },
                             { VersionField, each.origin.version },
                             { SettledField, each.settled } };
        if (each.unlistedSince)
            entry[UnlistedField] = each.unlistedSince->count();
        entries.push_back(std::move(entry));
    }
    return json::serialize(json::object { { VersionsField, std::move(entries) } });
}

std::vector<serving::RegisteredVersion> decodeVersions(const std::string &text)
{
    std::vector<serving::RegisteredVersion> versions;
    const auto object = parseObject(text);
    const json::value *entries = object ? object->if_contains(VersionsField) : nullptr;
    if (entries == nullptr || !entries->is_array())
        return versions;
    for (const json::value &entry : entries->get_array()) {
        if (auto version = decodeVersion(entry))
            versions.push_back(std::move(*version));
    }
    return versions;
}

} // namespace snipestall::gateway
