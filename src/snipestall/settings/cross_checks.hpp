#pragma once

#include "snipestall/settings/fault.hpp"

#include <vector>

namespace snipestall::settings {

struct Document;

/// What no single value shows: references, sums, uniqueness, order between values.
std::vector<Fault> crossCheck(const Document &document);

} // namespace snipestall::settings
