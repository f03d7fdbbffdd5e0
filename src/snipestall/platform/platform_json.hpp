#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/platform/cloud_api.hpp"
#include "snipestall/platform/listed_instance.hpp"
#include "snipestall/platform/transaction.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::platform {

// Encodes the bodies of the platform's protocol, which docs/design/standin-protocols.md describes.
std::string encodeTransaction(const Transaction &transaction);
std::string encodeRead(const std::vector<RowKey> &keys);
std::string encodeScan(std::string_view table, std::string_view prefix, std::string_view after,
                       std::size_t limit);
std::string encodeStart(const StartOrder &order);
std::string encodeRelease(std::string_view instance, std::uint64_t fencingToken);

// Decodes the bodies of answers. Each function fails with Internal if the text does not follow the
// protocol.
Result<TransactionOutcome> decodeTransactionOutcome(const std::string &text);
Result<std::vector<Row>> decodeRows(const std::string &text);
Result<std::vector<ListedInstance>> decodeInstances(const std::string &text);
Result<std::string> decodeStarted(const std::string &text);

} // namespace snipestall::platform
