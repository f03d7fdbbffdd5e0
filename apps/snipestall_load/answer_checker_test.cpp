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
    void take(std::int64_t index) { m_checker.take(tokenText(promptHash("mine"), index)); }

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

TEST_F(AnswerCheckerTest, AWholeAnswerIsFineInChunksOfAnySize)
{
    take(0);
    m_checker.take(tokenText(promptHash("mine"), 1) + tokenText(promptHash("mine"), 2));
    m_checker.end();
    EXPECT_EQ(kinds(), Kinds {});
}

// A stream is resumed one token too early: the caller would read a word twice.
TEST_F(AnswerCheckerTest, ARepeatedTokenIsDoubled)
{
    take(0);
    take(0);
    EXPECT_EQ(kinds(), Kinds { ViolationKind::Doubled });
}

TEST_F(AnswerCheckerTest, AGapOrAnEarlyEndIsCut)
{
    take(1);
    m_checker.end();
    EXPECT_EQ(kinds(), (Kinds { ViolationKind::Cut, ViolationKind::Cut }));
}

// Two streams share a connection and one gets the other's token.
TEST_F(AnswerCheckerTest, AnotherPromptsTokenIsMixed)
{
    take(0);
    m_checker.take(tokenText(promptHash("yours"), 1));
    EXPECT_EQ(kinds(), Kinds { ViolationKind::Mixed });
}

TEST_F(AnswerCheckerTest, AnOrderedRewindIsNoRepeat)
{
    take(0);
    take(1);
    m_checker.rewind(1);
    take(1);
    take(2);
    m_checker.end();
    EXPECT_EQ(kinds(), Kinds {});
}

} // namespace
} // namespace snipestall::load
