#pragma once

#include "snipestall/serving/part_report.hpp"

#include <string>
#include <vector>

namespace snipestall::gateway {

/// Encodes the row of the store that lists the blocked parts of prompts.
std::string encodeBlockedParts(const std::vector<serving::StoredPart> &parts);
/// Skips entries that can't be read.
std::vector<serving::StoredPart> decodeBlockedParts(const std::string &text);

} // namespace snipestall::gateway
