#pragma once

#include <string>

namespace snipestall::ctl {

/// A random id that no other change has: 128 bits in hex.
std::string newChangeId();

/// A random bearer key of 256 bits.
std::string newKey();

} // namespace snipestall::ctl
