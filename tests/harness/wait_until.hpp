#pragma once

#include <chrono>
#include <functional>

namespace snipestall::harness {

/// Default limit of a wait, far longer than a loaded machine needs. A test that reaches it has
/// failed; no test result depends on how long a wait took otherwise.
constexpr std::chrono::seconds WaitLimit { 60 };

/// Polls until the condition holds; returns false if it does not hold within the limit.
bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit = WaitLimit);

} // namespace snipestall::harness
