#pragma once

#include "snipestall/base/clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace snipestall::standins {

/// State of an attempt; every state but Running is final.
enum class AttemptState {
    Running,
    Completed,
    Cancelled,
    /// The connection was cut: the client disconnected, a fault was injected or the engine was
    /// reclaimed.
    Cut,
    /// Not run, because slots and queue are full, the model is not loaded, or `fail_fast` is set.
    Refused,
};

/// One attempt at a completion. It is created when the request body has arrived.
struct Attempt
{
    explicit Attempt(boost::asio::io_context &io)
        : wake(io, SteadyTime::max())
    { }

    /// Number of tokens that this attempt has to produce.
    [[nodiscard]] std::int64_t tokensToProduce() const { return maxTokens - from; }
    /// Also clears the prompt, because the log keeps thousands of ended attempts.
    void end(AttemptState outcome)
    {
        ended = outcome;
        prompt.clear();
        wake.cancel();
    }

    std::string request;
    std::string id;
    std::string model;
    std::string prompt;
    std::uint32_t promptHash = 0;
    std::int64_t promptTokens = 0;
    /// Length of the whole answer, including the part before `from`.
    std::int64_t maxTokens = 0;
    /// Offset of the first token to produce.
    std::int64_t from = 0;
    /// Queued attempts with a greater priority run first.
    std::int64_t priority = 0;
    std::string kvHandle;

    std::int64_t kvTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t prefilledTokens = 0;
    SteadyTime prefillDone {};
    std::int64_t produced = 0;
    AttemptState ended = AttemptState::Running;
    WallTime arrived {};
    /// Time from the engine's reclaim notice to the arrival; empty before a notice.
    std::optional<std::chrono::milliseconds> afterNotice;
    /// Cancelled to wake the writer when a token was produced or the attempt has ended.
    boost::asio::steady_timer wake;
};

using AttemptPtr = std::shared_ptr<Attempt>;

} // namespace snipestall::standins
