#pragma once

#include <string>

namespace snipestall::ctl {

/// Returns a random change id of 128 bits in hex, which no other change has.
/// Throws Exception if OpenSSL has no random numbers.
std::string newChangeId();

/// Returns a random bearer key of 256 bits in hex.
/// Throws Exception if OpenSSL has no random numbers.
std::string newKey();

} // namespace snipestall::ctl
