#pragma once

#include <chrono>
#include <functional>

namespace snipestall::harness {

/// Overall limit of a wait: far beyond what a loaded machine needs. A test that reaches it has
/// failed; no verdict rests on how long a wait took.
constexpr std::chrono::seconds WaitLimit { 60 };

/// Polls until the condition holds; false once the limit has passed.
bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit = WaitLimit);

} // namespace snipestall::harness
