#include "snipestall/peer/settings_rows.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace snipestall::peer {

namespace json = boost::json;

namespace {

constexpr std::string_view SettingsTable = "settings";
constexpr std::string_view AuditTable = "audit";
constexpr std::string_view VersionPrefix = "v/";

/// Pads a version to a fixed width, so that the table's order by key is the order of versions.
std::string padded(std::uint64_t version)
{
    std::string digits = std::to_string(version);
    constexpr std::size_t Width = 20;
    return std::string(Width - digits.size(), '0') + digits;
}

template<typename T, typename Decoder>
Result<T> decode(const platform::Row &row, Decoder decoder)
{
    try {
        const json::value parsed = json::parse(row.value);
        return decoder(parsed.as_object());
    } catch (const std::exception &damaged) {
        return fail(ErrorKind::Internal,
                    "can't decode row " + row.key.table + "/" + row.key.key + ": " + damaged.what()
                        + "; inspect it in the platform's table");
    }
}

} // namespace

platform::RowKey headKey()
{
    return { std::string(SettingsTable), "head" };
}

platform::RowKey versionKey(std::uint64_t version)
{
    return { std::string(SettingsTable), std::string(VersionPrefix) + padded(version) };
}

platform::RowKey auditKey(std::uint64_t version)
{
    return { std::string(AuditTable), padded(version) };
}

platform::RowKey changeKey(const std::string &changeId)
{
    return { std::string(SettingsTable), "c/" + changeId };
}

std::string encodeHead(const SettingsDocument &document, const std::string &changeId)
{
    json::object object;
    object["version"] = document.version;
    object["hash"] = document.hash;
    object["change"] = changeId;
    return json::serialize(object);
}

std::string encodeVersion(const SettingsDocument &document, const std::string &changeId)
{
    json::object object;
    object["hash"] = document.hash;
    object["change"] = changeId;
    object["yaml"] = document.yaml;
    return json::serialize(object);
}

std::string encodeChange(std::uint64_t version)
{
    json::object object;
    object["version"] = version;
    return json::serialize(object);
}

const platform::Row *findRow(std::span<const platform::Row> rows, const platform::RowKey &key)
{
    const auto found = std::ranges::find(rows, key, &platform::Row::key);
    return found == rows.end() ? nullptr : &*found;
}

Result<SettingsHead> decodeHead(const platform::Row *row)
{
    if (row == nullptr)
        return SettingsHead {};
    return decode<SettingsHead>(*row, [row](const json::object &object) {
        SettingsHead head;
        head.version = object.at("version").to_number<std::uint64_t>();
        head.hash = std::string(object.at("hash").as_string());
        head.storedVersion = row->version;
        return head;
    });
}

Result<SettingsDocument> decodeVersion(std::uint64_t version, const platform::Row &row)
{
    return decode<SettingsDocument>(row, [version](const json::object &object) {
        SettingsDocument document;
        document.version = version;
        document.hash = std::string(object.at("hash").as_string());
        document.yaml = std::string(object.at("yaml").as_string());
        return document;
    });
}

platform::RowKey versionPrefix()
{
    return { std::string(SettingsTable), std::string(VersionPrefix) };
}

Result<StoredVersion> decodeStoredVersion(const platform::Row &row)
{
    return decode<StoredVersion>(row, [&row](const json::object &object) {
        StoredVersion stored;
        stored.version = std::stoull(row.key.key.substr(VersionPrefix.size()));
        stored.changeId = std::string(object.at("change").as_string());
        return stored;
    });
}

Result<std::uint64_t> decodeChange(const platform::Row &row)
{
    return decode<std::uint64_t>(row, [](const json::object &object) {
        return object.at("version").to_number<std::uint64_t>();
    });
}

} // namespace snipestall::peer
