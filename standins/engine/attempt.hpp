#pragma once

#include "snipestall/base/clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace snipestall::standins {

enum class AttemptEnd {
    Running,
    Completed,
    Cancelled,
    /// The caller hung up, or the engine was taken.
    Cut,
    /// Not run: no room, unknown model, or told to fail.
    Refused,
};

/// One attempt at a completion, from the arrival of its body.
struct Attempt
{
    explicit Attempt(boost::asio::io_context &io)
        : wake(io, SteadyTime::max())
    { }

    [[nodiscard]] std::int64_t wanted() const { return maxTokens - from; }
    /// The prompt of an ended attempt is not kept: the log holds thousands of them.
    void end(AttemptEnd how)
    {
        ended = how;
        prompt.clear();
        wake.cancel();
    }

    std::string request;
    std::string id;
    std::string model;
    std::string prompt;
    std::uint32_t promptHash = 0;
    std::int64_t promptTokens = 0;
    /// Of the whole answer, the part before `from` included.
    std::int64_t maxTokens = 0;
    std::int64_t from = 0;
    /// A greater one goes first.
    std::int64_t priority = 0;
    std::string kvHandle;

    std::int64_t kvTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t prefilledTokens = 0;
    SteadyTime prefillDone {};
    std::int64_t produced = 0;
    AttemptEnd ended = AttemptEnd::Running;
    WallTime arrived {};
    /// Time between the engine's reclaim notice and the arrival.
    std::optional<std::chrono::milliseconds> afterNotice;
    /// Cancelled whenever there is a token to write or the attempt has ended.
    boost::asio::steady_timer wake;
};

using AttemptPtr = std::shared_ptr<Attempt>;

} // namespace snipestall::standins
