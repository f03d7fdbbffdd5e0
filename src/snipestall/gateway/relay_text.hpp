#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace snipestall::gateway {

/// When to come back after a refusal for want of a server: about as long as a restart takes.
inline constexpr std::chrono::milliseconds RetryAfterNoServer { 700 };

/// Another instance takes the caller's new connection at once.
inline constexpr std::chrono::milliseconds RetryAfterShutdown { 50 };

inline std::int64_t inMillis(SteadyTime::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// A count that is kept as a fraction, for a log line.
inline std::string wholeText(double number)
{
    return std::to_string(static_cast<std::int64_t>(number));
}

} // namespace snipestall::gateway
