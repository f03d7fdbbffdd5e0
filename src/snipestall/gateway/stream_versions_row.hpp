#pragma once

#include "snipestall/serving/stream_versions.hpp"

#include <string>
#include <vector>

namespace snipestall::gateway {

std::string encodeVersions(const std::vector<serving::RegisteredVersion> &versions);
/// Decodes a row. Entries that can't be read are left out.
std::vector<serving::RegisteredVersion> decodeVersions(const std::string &text);

} // namespace snipestall::gateway
