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

// Bodies of the platform's protocol; docs/design/standin-protocols.md lists them.
std::string encodeTransaction(const Transaction &transaction);
std::string encodeRead(const std::vector<RowKey> &keys);
std::string encodeScan(std::string_view table, std::string_view prefix, std::string_view after,
                       std::size_t limit);
std::string encodeStart(const StartOrder &order);
std::string encodeRelease(std::string_view instance, std::uint64_t fencing);

// Internal if the text is not what the protocol says.
Result<TransactionOutcome> decodeTransactionOutcome(const std::string &text);
Result<std::vector<Row>> decodeRows(const std::string &text);
Result<std::vector<ListedInstance>> decodeInstances(const std::string &text);
Result<std::string> decodeStarted(const std::string &text);

} // namespace snipestall::platform
