#pragma once

#include "violation.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::load {

/// Checks a streamed answer of a stand-in engine token by token: each token must hold the hash of
/// the prompt and the next index.
class AnswerChecker
{
public:
    /// The complete answer has `maxTokens` tokens.
    AnswerChecker(std::string_view prompt, std::int64_t maxTokens);

    /// Checks one or more whole tokens, separated by spaces.
    void addText(std::string_view text);
    /// Checks the length of the answer, after the server has marked it as complete.
    void end();
    /// Continues at an earlier index because the server told the caller to resume there: the tokens
    /// that follow do not count as repeated. A later index has no effect.
    void rewind(std::int64_t nextIndex);

    /// Index of the next expected token.
    [[nodiscard]] std::int64_t nextIndex() const { return m_nextIndex; }
    [[nodiscard]] const std::vector<Violation> &violations() const { return m_violations; }

private:
    void checkToken(std::string_view token);
    void addViolation(ViolationKind kind, std::string detail);

    std::string m_hash;
    std::int64_t m_maxTokens;
    std::int64_t m_nextIndex = 0;
    std::vector<Violation> m_violations;
};

} // namespace snipestall::load
