#include "snipestall/gateway/call_end.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;

class CallEndTest : public testing::Test
{
protected:
    std::shared_ptr<CallEnd<std::string>> begin()
    {
        return std::make_shared<CallEnd<std::string>>(
            m_io,
            [this](const Result<const std::string *> &outcome) {
                ++m_ends;
                if (outcome)
                    m_answer = **outcome;
                else
                    m_error = outcome.error().kind;
            },
            [this] { ++m_cancels; });
    }

    boost::asio::io_context m_io;
    int m_ends = 0;
    int m_cancels = 0;
    std::optional<std::string> m_answer;
    std::optional<ErrorKind> m_error;
};

// Guards against a member that is without a hub for up to 19 s: its call to a hub behind a full
// link was reported as ended only when the bytes that were under way had been written, and it
// called nobody meanwhile.
TEST_F(CallEndTest, ACallThatIsNotReportedAsEndedEndsAtItsDeadline)
{
    const auto call = begin();
    call->startDeadline(1ms);
    m_io.run();
    EXPECT_EQ(m_ends, 1);
    EXPECT_EQ(m_cancels, 1);
    EXPECT_EQ(m_error, ErrorKind::DeadlineExceeded);
    const std::string late = "late";
    call->end(&late);
    EXPECT_EQ(m_ends, 1);
    EXPECT_FALSE(m_answer);
}

TEST_F(CallEndTest, AnAnswerEndsTheCallAndItsDeadline)
{
    const auto call = begin();
    call->startDeadline(1h);
    const std::string answer = "answer";
    call->end(&answer);
    m_io.run();
    EXPECT_EQ(m_ends, 1);
    EXPECT_EQ(m_cancels, 0);
    EXPECT_EQ(m_answer, "answer");
}

} // namespace
} // namespace snipestall::gateway
