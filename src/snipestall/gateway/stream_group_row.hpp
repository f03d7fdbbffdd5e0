#pragma once

#include "snipestall/serving/stream_groups.hpp"

#include <optional>
#include <string>

namespace snipestall::gateway {

std::string encodeStreamGroup(const serving::StreamGroup &group);
/// Decodes a row without its slot. Returns nothing if the row can't be read; leaves out records
/// that can't be read.
std::optional<serving::StreamGroup> decodeStreamGroup(const std::string &text);

} // namespace snipestall::gateway
