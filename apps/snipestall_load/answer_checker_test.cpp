#include "answer_checker.hpp"

#include "common/token_text.hpp"

#include <gtest/gtest.h>

namespace snipestall::load {
namespace {

using standins::promptHash;
using standins::tokenText;

class AnswerCheckerTest : public testing::Test
{
protected:
    void addToken(std::int64_t index) { m_checker.addText(tokenText(promptHash("mine"), index)); }

    [[nodiscard]] std::vector<ViolationKind> kinds() const
    {
        std::vector<ViolationKind> kinds;
        for (const auto &violation : m_checker.violations())
            kinds.push_back(violation.kind);
        return kinds;
    }

    AnswerChecker m_checker { "mine", 3 };
};

using Kinds = std::vector<ViolationKind>;

TEST_F(AnswerCheckerTest, CompleteAnswerInChunksOfAnySizeIsAccepted)
{
    addToken(0);
    m_checker.addText(tokenText(promptHash("mine"), 1) + tokenText(promptHash("mine"), 2));
    m_checker.end();
    EXPECT_EQ(kinds(), Kinds {});
}

// A stream is resumed one token too early, so that the caller reads a token twice.
TEST_F(AnswerCheckerTest, ARepeatedTokenIsDoubled)
{
    addToken(0);
    addToken(0);
    EXPECT_EQ(kinds(), Kinds { ViolationKind::Doubled });
}

TEST_F(AnswerCheckerTest, AGapOrAnEarlyEndIsCut)
{
    addToken(1);
    m_checker.end();
    EXPECT_EQ(kinds(), (Kinds { ViolationKind::Cut, ViolationKind::Cut }));
}

// Two streams share a connection, and one of them receives a token of the other.
TEST_F(AnswerCheckerTest, TokenOfAnotherPromptIsMixed)
{
    addToken(0);
    m_checker.addText(tokenText(promptHash("yours"), 1));
    EXPECT_EQ(kinds(), Kinds { ViolationKind::Mixed });
}

TEST_F(AnswerCheckerTest, TokensRepeatedAfterARewindAreAccepted)
{
    addToken(0);
    addToken(1);
    m_checker.rewind(1);
    addToken(1);
    addToken(2);
    m_checker.end();
    EXPECT_EQ(kinds(), Kinds {});
}

} // namespace
} // namespace snipestall::load
