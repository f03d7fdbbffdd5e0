// Tests of answers that are produced by two runs, over the whole path of the gateway on loopback.

#include "gateway_fixture.hpp"

#include <array>

namespace snipestall::gateway {
namespace {

using Behaviour = TestBackend::Behaviour;
using wire::HttpResponse;
using wire::Task;

std::string eventsUpTo(int last)
{
    std::string text;
    for (int number = 1; number <= last; ++number)
        text += "id: " + std::to_string(number) + "\ndata: x\n\n";
    return text;
}

class ResumedStreamTest : public GatewayPathTest
{
protected:
    /// Returns what the caller gets when the first run breaks off after some events. The status is
    /// 0 if the answer is incomplete.
    Task<HttpResponse> resumedBy(Behaviour second, std::string target = "/again/x")
    {
        for (TestBackend *backend : { &m_first, &m_second }) {
            backend->behave(Behaviour::CrashAfterEvents);
            backend->behaveWhenResumed(second);
        }
        co_return co_await fetch(m_callers, std::move(target), "POST");
    }
};

TEST_F(ResumedStreamTest, ARunThatBreaksOffGoesOnElsewhereWithoutAGap)
{
    publish();
    run([this]() -> Task<void> {
        co_await untilServing();
        for (const Behaviour rest : { Behaviour::StreamRest, Behaviour::RestWithLength }) {
            const HttpResponse response = co_await resumedBy(rest);
            EXPECT_EQ(response.status, 200);
            EXPECT_EQ(response.body, eventsUpTo(TestBackend::AllEvents));
        }
    });
}

// Guards against an incomplete answer that looks complete: the server that streams it crashes, the
// run goes on elsewhere and fails there, and the end of the body of the failure is passed on as the
// end of the stream. The same holds for any other response that is not the rest of the stream.
TEST_F(ResumedStreamTest, AnythingButTheRestOfTheStreamBreaksTheAnswerOff)
{
    publish();
    run([this]() -> Task<void> {
        co_await untilServing();
        for (const Behaviour second : { Behaviour::Fail, Behaviour::PlainText,
                                        Behaviour::OtherStatus, Behaviour::LoseAnswer }) {
            const HttpResponse response = co_await resumedBy(second);
            EXPECT_EQ(response.status, 0) << static_cast<int>(second) << ": " << response.body;
        }
    });
}

// The first run broke off after its last event, so the second run has nothing to add and ends its
// stream without an event.
TEST_F(ResumedStreamTest, ASecondRunWithoutEventsEndsAStreamOfItsOwnKind)
{
    publish();
    run([this]() -> Task<void> {
        co_await untilServing();
        const HttpResponse response = co_await resumedBy(Behaviour::NoEvents);
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body, eventsUpTo(TestBackend::EventsBeforeCrash));
    });
}

// A stream that may not be run again breaks off with its server, and no other run replaces it.
TEST_F(ResumedStreamTest, AStreamThatMayRunOnceBreaksOffWithItsRun)
{
    publish();
    run([this]() -> Task<void> {
        co_await untilServing();
        const HttpResponse response = co_await resumedBy(Behaviour::StreamRest, "/solo/x");
        EXPECT_EQ(response.status, 0);
        EXPECT_EQ(m_first.ran().size() + m_second.ran().size(), 1U);
    });
}

// Guards against a body made of two runs: the body of the first run is too large to be held back
// and breaks off, and the whole body of a second run is appended to it.
TEST_F(ResumedStreamTest, ABodyThatIsPassedOnAsItComesIsNotContinuedByAnotherRun)
{
    publish();
    m_first.behave(Behaviour::LargeBodyThenCrash);
    m_second.behave(Behaviour::LargeBodyThenCrash);
    run([this]() -> Task<void> {
        co_await untilServing();
        const HttpResponse response = co_await fetch(m_callers, "/safe/x");
        EXPECT_EQ(response.status, 0);
        EXPECT_EQ(m_first.ran().size() + m_second.ran().size(), 1U);
    });
}

} // namespace
} // namespace snipestall::gateway
