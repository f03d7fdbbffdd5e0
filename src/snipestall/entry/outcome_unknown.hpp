#pragma once

#include "snipestall/entry/final_answer.hpp"

#include <string>

namespace snipestall::entry {

/// Builds the final answer of a request that may have run and is not sent again.
FinalAnswer outcomeUnknown(std::string reason);

} // namespace snipestall::entry
