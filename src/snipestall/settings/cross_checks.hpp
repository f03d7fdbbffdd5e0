#pragma once

#include "snipestall/settings/fault.hpp"

#include <vector>

namespace snipestall::settings {

struct Document;

/// Checks that involve several values: references, sums, uniqueness, order between values.
std::vector<Fault> crossCheck(const Document &document);

} // namespace snipestall::settings
