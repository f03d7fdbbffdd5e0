#include "blocked_parts_row.hpp"

#include "duty_rows.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <cstdint>
#include <optional>
#include <sstream>

namespace snipestall::gateway {

namespace json = boost::json;

namespace {

constexpr auto PartsField = "parts";
constexpr auto ServiceField = "service";
constexpr auto ModelField = "model";
constexpr auto IdField = "id";
constexpr auto TriedByField = "tried_by";
constexpr int Hexadecimal = 16;

std::optional<std::string> textOf(const json::object &entry, const char *field)
{
    const json::value *found = entry.if_contains(field);
    if (found == nullptr || !found->is_string())
        return std::nullopt;
    return std::string(found->get_string());
}

std::optional<serving::StoredPart> decodePart(const json::value &value)
{
    const json::object *entry = value.if_object();
    if (entry == nullptr)
        return std::nullopt;
    const auto service = textOf(*entry, ServiceField);
    const auto model = textOf(*entry, ModelField);
    const auto id = textOf(*entry, IdField);
    if (!service || !model || !id)
        return std::nullopt;
    serving::StoredPart part { { *service, *model, 0 }, textOf(*entry, TriedByField).value_or("") };
    const char *end = id->data() + id->size();
    const auto parsed = std::from_chars(id->data(), end, part.name.id, Hexadecimal);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return part;
}

} // namespace

std::string encodeBlockedParts(const std::vector<serving::StoredPart> &parts)
{
    json::array entries;
    for (const serving::StoredPart &each : parts) {
        std::ostringstream id;
        id << std::hex << each.name.id;
        entries.push_back(json::object { { ServiceField, each.name.service },
                                         { ModelField, each.name.model },
                                         { IdField, id.str() },
                                         { TriedByField, each.triedBy } });
    }
    return json::serialize(json::object { { PartsField, std::move(entries) } });
}

std::vector<serving::StoredPart> decodeBlockedParts(const std::string &text)
{
    std::vector<serving::StoredPart> parts;
    const auto object = parseObject(text);
    const json::value *entries = object ? object->if_contains(PartsField) : nullptr;
    if (entries == nullptr || !entries->is_array())
        return parts;
    for (const json::value &entry : entries->get_array()) {
        if (auto part = decodePart(entry))
            parts.push_back(std::move(*part));
    }
    return parts;
}

} // namespace snipestall::gateway
