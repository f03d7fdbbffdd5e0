#pragma once

#include "violation.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::load {

/// Checks one streamed answer token by token against the prompt that it belongs to.
class AnswerChecker
{
public:
    AnswerChecker(std::string_view prompt, std::int64_t maxTokens);

    /// Takes one or more whole tokens of text.
    void take(std::string_view text);
    /// The server called the answer whole.
    void end();
    /// The server told the caller to come back at an earlier offset: what follows is no repeat.
    void rewind(std::int64_t next);

    [[nodiscard]] std::int64_t next() const { return m_next; }
    [[nodiscard]] const std::vector<Violation> &violations() const { return m_violations; }

private:
    void takeToken(std::string_view token);
    void report(ViolationKind kind, std::string detail);

    std::string m_hash;
    std::int64_t m_maxTokens;
    std::int64_t m_next = 0;
    std::vector<Violation> m_violations;
};

} // namespace snipestall::load
