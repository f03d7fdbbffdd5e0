#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/peer/settings_document.hpp"
#include "snipestall/platform/row.hpp"

#include <cstdint>
#include <span>
#include <string>

namespace snipestall::peer {

/// The head as read: which version is current, and the row's own version to write against.
struct SettingsHead
{
    std::uint64_t version = 0;
    std::string hash;
    std::uint64_t storedVersion = 0;
};

// Names of the settings' rows.
platform::RowKey headKey();
platform::RowKey versionKey(std::uint64_t version);
platform::RowKey auditKey(std::uint64_t version);
/// Names the version that a change made, so that its repeat finds it however much came after.
platform::RowKey changeKey(const std::string &changeId);

// Their values.
std::string encodeHead(const SettingsDocument &document, const std::string &changeId);
std::string encodeVersion(const SettingsDocument &document, const std::string &changeId);
std::string encodeChange(std::uint64_t version);

/// Null if the row is not among them.
const platform::Row *findRow(std::span<const platform::Row> rows, const platform::RowKey &key);

// Internal if a row is damaged. An absent head is version 0.
Result<SettingsHead> decodeHead(const platform::Row *row);
Result<SettingsDocument> decodeVersion(std::uint64_t version, const platform::Row &row);
Result<std::uint64_t> decodeChange(const platform::Row &row);

/// What retention has to know of a version row.
struct StoredVersion
{
    std::uint64_t version = 0;
    std::string changeId;
};

/// Where version rows are found by a scan.
platform::RowKey versionPrefix();
Result<StoredVersion> decodeStoredVersion(const platform::Row &row);

} // namespace snipestall::peer
