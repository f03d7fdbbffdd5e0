#pragma once

#include <cstdint>
#include <string_view>

namespace snipestall::settings {

struct Document;

/// A data centre's whole part of a limit that counts requests. The parts of all data centres sum
/// to the limit times the sum of their shares, rounded down.
std::uint32_t divideCount(const Document &document, std::string_view customer,
                          std::string_view dataCentre, std::uint32_t limit);

} // namespace snipestall::settings
