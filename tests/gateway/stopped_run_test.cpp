// Tests of streams whose run is stopped for a move that then fails, over the whole path on
// loopback.

#include "gateway_fixture.hpp"
#include "raw_backend.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <chrono>
#include <string>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using wire::HttpResponse;
using wire::Task;
using End = RawBackend::End;

/// Head of a stream that ends with its connection.
constexpr auto UnframedHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: @ID\r\nX-Server-Seal: raw\r\n"
                              "Content-Type: text/event-stream\r\n\r\n";
constexpr auto FirstEvents = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n";
constexpr auto LastEvents = "id: 3\ndata: x\n\nid: 4\ndata: x\n\n";

std::string moveAnswer(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size())
        + "\r\nConnection: close\r\n\r\n" + body;
}

/// A server whose streams have no length and are stopped by a move, and one that works. The route
/// does not allow a stream to be run again.
class StoppedRunTest : public GatewayPathTest
{
protected:
    StoppedRunTest()
    {
        m_store.put({ "op", "", "config" }, GatewayTestConfig);
        m_store.put({ "servers", "", m_raw.id() }, m_raw.entry());
        m_store.put({ "servers", "", m_second.id() }, m_second.entry());
        m_second.behave(TestBackend::Behaviour::StreamRest);
    }

    static RawBackend::Script stoppedStream(std::string moveAnswer)
    {
        RawBackend::Script script;
        script.bytes = std::string(UnframedHead) + FirstEvents;
        script.end = End::AwaitMove;
        script.moveAnswer = std::move(moveAnswer);
        return script;
    }

    /// Returns the answer to a request at the raw server, which is reclaimed while it streams.
    Task<HttpResponse> fetchWhileReclaimed()
    {
        co_await untilServing();
        boost::asio::co_spawn(
            m_io,
            [this]() -> Task<void> {
                while (m_raw.requests() == 0)
                    co_await wire::sleepFor(1ms);
                m_store.put({ "servers", "", m_raw.id() },
                            m_raw.entry(1, R"("draining","leaves_ms":600)"));
            },
            boost::asio::detached);
        HttpResponse response;
        do {
            response = co_await fetch(m_callers, "/solo/x", "POST");
        } while (m_raw.requests() == 0);
        EXPECT_EQ(m_raw.requests(), 1);
        EXPECT_EQ(m_raw.moves(), 1);
        co_return response;
    }

    /// Expects that the caller can see that the answer is not whole.
    void expectCut(RawBackend::Script script)
    {
        m_raw.play(std::move(script));
        run([this]() -> Task<void> {
            const HttpResponse response = co_await fetchWhileReclaimed();
            EXPECT_EQ(response.status, 0) << response.body;
        });
    }

    void expectWhole(RawBackend::Script script)
    {
        m_raw.play(std::move(script));
        run([this]() -> Task<void> {
            const HttpResponse response = co_await fetchWhileReclaimed();
            EXPECT_EQ(response.status, 200);
            EXPECT_EQ(response.body, std::string(FirstEvents) + LastEvents);
        });
    }

    RawBackend m_raw { m_io, "i-1" };
};

// Guards against a stream that is cut although the server that stopped it has kept its run.
TEST_F(StoppedRunTest, ARunThatItsServerHasKeptGoesOnThere)
{
    RawBackend::Script script =
        stoppedStream(moveAnswer("503 Service Unavailable", R"({"kvHandle":"h3"})"));
    script.continuation = std::string(UnframedHead) + LastEvents;
    expectWhole(script);
    EXPECT_NE(m_raw.continued().find("/h3\r\n"), std::string::npos);
    EXPECT_NE(m_raw.continued().find("Last-Event-Id: 2\r\n"), std::string::npos);
}

// Guard against a stream that ends as complete before its last event: the gateway has stopped its
// run, and nothing tells how it could go on.
TEST_F(StoppedRunTest, AFailedMoveWithoutAHandleDoesNotCompleteTheStream)
{
    expectCut(stoppedStream(moveAnswer("503 Service Unavailable", "{}")));
}

TEST_F(StoppedRunTest, ALostAnswerToAMoveDoesNotCompleteTheStream)
{
    expectCut(stoppedStream(""));
}

TEST_F(StoppedRunTest, AnUnreadableAnswerToAMoveDoesNotCompleteTheStream)
{
    expectCut(stoppedStream(moveAnswer("200 OK", "moved")));
}

TEST_F(StoppedRunTest, AnAnswerToAMoveWithoutAHandleDoesNotCompleteTheStream)
{
    expectCut(stoppedStream(moveAnswer("200 OK", R"({"created":2})")));
}

TEST_F(StoppedRunTest, AMoveThatIsInProgressAlreadyDoesNotCompleteTheStream)
{
    expectCut(stoppedStream(moveAnswer("409 Conflict", "{}")));
}

TEST_F(StoppedRunTest, ASourceThatRefusesTheKeptRunDoesNotCompleteTheStream)
{
    RawBackend::Script script =
        stoppedStream(moveAnswer("503 Service Unavailable", R"({"kvHandle":"h3"})"));
    script.continuation = "HTTP/1.1 503 Busy\r\nX-Attempt-Id: @ID\r\nX-Not-Executed: 1\r\n"
                          "Content-Length: 0\r\n\r\n";
    expectCut(script);
}

// Guards against a whole stream that is cut because a move was begun as it ended.
TEST_F(StoppedRunTest, AStreamThatEndedByItselfBesideAMoveIsComplete)
{
    RawBackend::Script script = stoppedStream(moveAnswer("404 Not Found", "{}"));
    script.afterMove = LastEvents;
    expectWhole(script);
}

// Guards against a whole stream with chunks that is cut because the answer to a move was lost.
TEST_F(StoppedRunTest, AStreamWhoseLastChunkArrivedIsCompleteWhateverBecameOfTheMove)
{
    const std::string events = std::string(FirstEvents) + LastEvents;
    RawBackend::Script script = stoppedStream("");
    script.bytes = "HTTP/1.1 200 OK\r\nX-Attempt-Id: @ID\r\nX-Server-Seal: raw\r\n"
                   "Content-Type: text/event-stream\r\nContent-Length: "
        + std::to_string(events.size()) + "\r\n\r\n" + FirstEvents;
    script.afterMove = LastEvents;
    expectWhole(script);
}

// Guards against a stream that is not moved because it has no length.
TEST_F(StoppedRunTest, AStreamWithoutALengthGoesOnWhereItWasMoved)
{
    m_raw.play(stoppedStream(moveAnswer("200 OK", R"({"kvHandle":"h3","created":2})")));
    run([this]() -> Task<void> {
        const HttpResponse response = co_await fetchWhileReclaimed();
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body.find(FirstEvents), 0U);
        for (int event = 1; event <= TestBackend::AllEvents; ++event)
            EXPECT_NE(response.body.find("id: " + std::to_string(event) + "\n"), std::string::npos);
        EXPECT_FALSE(m_second.ran().back().fields.find("Kv-From").value_or("").empty());
    });
}

} // namespace
} // namespace snipestall::gateway
