// Answers that come in two runs, over the gateway's whole path on loopback.

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
    /// What the caller gets when the first run breaks off after some events; status 0 if its
    /// answer does not end as a whole one.
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

// A broker takes half an opinion for a whole one: the server that streams it crashes, the run goes
// on elsewhere and fails there, and the end of the failure's body is passed on as the end of the
// stream. The same with anything else that is not the rest of the stream.
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

// The first run broke off after its last event: a second one has nothing to add, and says so.
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

// A stream that may not be run again breaks off with its server, and nothing is put in its place.
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

// A caller gets a body of two halves: the first run's, too large to be held back, breaks off, and
// the whole body of a second run is appended to it.
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
