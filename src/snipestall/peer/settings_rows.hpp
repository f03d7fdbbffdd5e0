#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/peer/settings_document.hpp"
#include "snipestall/platform/row.hpp"

#include <cstdint>
#include <span>
#include <string>

namespace snipestall::peer {

/// The decoded head row: the current settings version and, as `storedVersion`, the version of the
/// row itself, which a write must match.
struct SettingsHead
{
    std::uint64_t version = 0;
    std::string hash;
    std::uint64_t storedVersion = 0;
};

// Keys of the rows of the settings.
platform::RowKey headKey();
platform::RowKey versionKey(std::uint64_t version);
platform::RowKey auditKey(std::uint64_t version);
/// Key of the row with the version that a change made, so that a repeat of the change finds it
/// after any number of later changes.
platform::RowKey changeKey(const std::string &changeId);

// Values of the rows of the settings.
std::string encodeHead(const SettingsDocument &document, const std::string &changeId);
std::string encodeVersion(const SettingsDocument &document, const std::string &changeId);
std::string encodeChange(std::uint64_t version);

/// The row with that key, or null if it is not among `rows`.
const platform::Row *findRow(std::span<const platform::Row> rows, const platform::RowKey &key);

// Decoders of the rows. Internal if a row is damaged. An absent head row is version 0.
Result<SettingsHead> decodeHead(const platform::Row *row);
Result<SettingsDocument> decodeVersion(std::uint64_t version, const platform::Row &row);
Result<std::uint64_t> decodeChange(const platform::Row &row);

/// The fields of a version row that its removal needs.
struct StoredVersion
{
    std::uint64_t version = 0;
    std::string changeId;
};

/// Table and key prefix for a scan of the version rows.
platform::RowKey versionPrefix();
Result<StoredVersion> decodeStoredVersion(const platform::Row &row);

} // namespace snipestall::peer
