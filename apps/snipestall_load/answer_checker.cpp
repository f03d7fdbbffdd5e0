#include "answer_checker.hpp"

#include "common/token_text.hpp"

#include <charconv>

namespace snipestall::load {

namespace {

constexpr std::size_t HashDigits = 8;

/// Number behind "<hash>:", or nothing.
std::optional<std::int64_t> indexOf(std::string_view token)
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

void AnswerChecker::take(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t space = text.find(' ');
        const std::string_view token = text.substr(0, space);
        takeToken(token);
        text = space == std::string_view::npos ? std::string_view() : text.substr(space + 1);
    }
}

void AnswerChecker::takeToken(std::string_view token)
{
    const auto index = indexOf(token);
    if (!index || token.substr(0, HashDigits) != m_hash) {
        report(ViolationKind::Mixed, "token '" + std::string(token) + "' is not of this prompt");
        return;
    }
    const std::string place =
        std::to_string(*index) + " where " + std::to_string(m_next) + " was expected";
    if (*index < m_next) {
        report(ViolationKind::Doubled, "token " + place);
        return;
    }
    if (*index > m_next)
        report(ViolationKind::Cut, "gap: token " + place);
    m_next = *index + 1;
}

void AnswerChecker::end()
{
    if (m_next == m_maxTokens)
        return;
    report(ViolationKind::Cut,
           "ended after " + std::to_string(m_next) + " of " + std::to_string(m_maxTokens)
               + " tokens");
}

void AnswerChecker::rewind(std::int64_t next)
{
    if (next < m_next)
        m_next = next;
}

void AnswerChecker::report(ViolationKind kind, std::string detail)
{
    m_violations.push_back({ kind, std::move(detail) });
}

} // namespace snipestall::load
