#include "answer_checker.hpp"

#include "common/token_text.hpp"

#include <charconv>

namespace snipestall::load {

namespace {

constexpr std::size_t HashDigits = 8;

/// Index of a token of the form "<hash>:<index>"; nothing if the token has another form.
std::optional<std::int64_t> tokenIndex(std::string_view token)
{
    if (token.size() <= HashDigits + 1 || token[HashDigits] != ':')
        return std::nullopt;
    const std::string_view digits = token.substr(HashDigits + 1);
    std::int64_t index = 0;
    const auto [stop, code] = std::from_chars(digits.data(), digits.data() + digits.size(), index);
    if (code != std::errc {} || stop != digits.data() + digits.size())
        return std::nullopt;
    return index;
}

} // namespace

AnswerChecker::AnswerChecker(std::string_view prompt, std::int64_t maxTokens)
    : m_hash(standins::tokenText(standins::promptHash(prompt), 0).substr(0, HashDigits))
    , m_maxTokens(maxTokens)
{ }

void AnswerChecker::addText(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t space = text.find(' ');
        const std::string_view token = text.substr(0, space);
        checkToken(token);
        text = space == std::string_view::npos ? std::string_view() : text.substr(space + 1);
    }
}

void AnswerChecker::checkToken(std::string_view token)
{
    const auto index = tokenIndex(token);
    if (!index || token.substr(0, HashDigits) != m_hash) {
        addViolation(ViolationKind::Mixed,
                     "token '" + std::string(token) + "' does not belong to this prompt");
        return;
    }
    const std::string position =
        std::to_string(*index) + " where " + std::to_string(m_nextIndex) + " was expected";
    if (*index < m_nextIndex) {
        addViolation(ViolationKind::Doubled, "token " + position);
        return;
    }
    if (*index > m_nextIndex)
        addViolation(ViolationKind::Cut, "tokens are missing: token " + position);
    m_nextIndex = *index + 1;
}

void AnswerChecker::end()
{
    if (m_nextIndex == m_maxTokens)
        return;
    addViolation(ViolationKind::Cut,
                 "the answer ended after " + std::to_string(m_nextIndex) + " of "
                     + std::to_string(m_maxTokens) + " tokens");
}

void AnswerChecker::rewind(std::int64_t nextIndex)
{
    if (nextIndex < m_nextIndex)
        m_nextIndex = nextIndex;
}

void AnswerChecker::addViolation(ViolationKind kind, std::string detail)
{
    m_violations.push_back({ kind, std::move(detail) });
}

} // namespace snipestall::load
