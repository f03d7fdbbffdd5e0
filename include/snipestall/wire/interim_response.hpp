#pragma once

namespace snipestall::wire {

/// First status code that is not an interim response.
inline constexpr unsigned FirstFinalStatus = 200;
/// Nothing that follows this interim response is a response. It is never asked for.
inline constexpr unsigned SwitchingProtocols = 101;
/// Interim responses that are read before a response. A faulty server may send them without end.
inline constexpr int MaxInterimResponses = 16;

} // namespace snipestall::wire
