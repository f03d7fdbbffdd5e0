#pragma once

#include "snipestall/base/result.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace snipestall::wire {

/// Compresses `data`. What it has in common with `base` takes next to no space, wherever it stands.
std::string compress(std::string_view data, std::string_view base = {});

/// Returns the data that was compressed with the same base. The error InvalidArgument means that
/// the base differs, the bytes are damaged, or the data is larger than `maxSize` bytes.
Result<std::string> decompress(std::string_view compressed, std::size_t maxSize,
                               std::string_view base = {});

} // namespace snipestall::wire
