#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>

namespace snipestall::standins {

/// What the test has ordered this engine to do wrong.
struct EngineFaults
{
    /// Every completion is refused with 500.
    bool failFast = false;
    bool ignoreCancel = false;
    /// The next completions are answered under another attempt's id, with another prompt's text.
    std::int64_t strangerAnswers = 0;
    /// The next completions are cut after `cutAfterTokens`.
    std::int64_t cutAnswers = 0;
    std::int64_t cutAfterTokens = 0;
    std::string crashMarker = "CRASH-THE-SERVER";

    void change(const boost::json::object &body);
};

} // namespace snipestall::standins
