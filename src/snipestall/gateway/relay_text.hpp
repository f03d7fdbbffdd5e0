#pragma once

#include "snipestall/base/clock.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>

namespace snipestall::gateway {

/// Retry time after a refusal because no server is available: about the duration of a restart.
inline constexpr std::chrono::milliseconds RetryAfterNoServer { 700 };

/// Retry time after a refusal because of a shutdown. It is short, because another instance accepts
/// the caller's new connection at once.
inline constexpr std::chrono::milliseconds RetryAfterShutdown { 50 };

/// Retry time for a request that crashes servers. It is longer than any caller waits, because the
/// request should not be repeated.
inline constexpr std::chrono::seconds RetryAfterCrashes { 60 };

inline std::int64_t toMillis(SteadyTime::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// Formats a fractional count as an integer for a log line.
inline std::string integerText(double number)
{
    return std::to_string(static_cast<std::int64_t>(number));
}

/// Formats a retry time in seconds.
inline std::string retryAfterText(std::chrono::milliseconds time)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
    return text.data();
}

} // namespace snipestall::gateway
