#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>

namespace snipestall::standins {

/// Faults that a test has requested of this engine.
struct EngineFaults
{
    /// Refuses every completion with status 500.
    bool failFast = false;
    bool ignoreCancel = false;
    /// Number of next completions that are answered with the id of another attempt and the text of
    /// another prompt.
    std::int64_t strangerAnswers = 0;
    /// Number of next completions whose connection is cut after `cutAfterTokens` tokens.
    std::int64_t cutAnswers = 0;
    std::int64_t cutAfterTokens = 0;
    /// The process exits when it produces a token for a prompt that contains this text.
    std::string crashMarker = "CRASH-THE-SERVER";

    /// Changes the faults that the body names. Throws std::invalid_argument for a field of a wrong
    /// type.
    void change(const boost::json::object &body);
};

} // namespace snipestall::standins
