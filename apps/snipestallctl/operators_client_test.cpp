#include "operators_client.hpp"

#include "snipestall/wire/http_exchange.hpp"

#include "test_server.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <deque>
#include <mutex>

namespace snipestall::ctl {
namespace {

using testing::HasSubstr;

/// What the scripted server does with one call.
enum class Step {
    DropConnection,
    Accept,
    NotApplied,
    Unknown,
    Conflict,
    WrongKey,
};

/// Answers each call with the next step and records the change ids it received. The last step
/// repeats.
class ScriptedHandler
{
public:
    explicit ScriptedHandler(std::deque<Step> steps)
        : m_steps(std::move(steps))
    { }

    wire::HttpServer::Handler handler()
    {
        return
            [this](wire::HttpExchange &exchange) -> wire::Task<void> { return runStep(exchange); };
    }

    std::vector<std::string> ids()
    {
        const std::lock_guard lock(m_mutex);
        return m_ids;
    }

private:
    wire::Task<void> runStep(wire::HttpExchange &exchange)
    {
        const auto change = admin::decodeChange(exchange.request().body);
        const Step step = next(change ? change->id : "?");
        if (step == Step::DropConnection) {
            exchange.abort();
            co_return;
        }
        wire::HttpResponse response = answerOf(step);
        co_await exchange.respond(std::move(response));
    }

    Step next(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        m_ids.push_back(id);
        const Step step = m_steps.front();
        if (m_steps.size() > 1)
            m_steps.pop_front();
        return step;
    }

    static wire::HttpResponse answerOf(Step step)
    {
        if (step == Step::Accept)
            return wire::HttpResponse::json(200, admin::encodeAccepted({ 7, "hash" }));
        const auto refuse = [](int status, ErrorKind kind) {
            admin::RefusalMessage message;
            message.error = { kind, "as scripted" };
            return wire::HttpResponse::json(status, admin::encodeRefusal(message));
        };
        switch (step) {
        case Step::NotApplied:
            return refuse(503, ErrorKind::Unavailable);
        case Step::Unknown:
            return refuse(504, ErrorKind::OutcomeUnknown);
        case Step::Conflict:
            return refuse(409, ErrorKind::Conflict);
        default:
            return refuse(401, ErrorKind::Unauthenticated);
        }
    }

    std::mutex m_mutex;
    std::deque<Step> m_steps;
    std::vector<std::string> m_ids;
};

class OperatorsClientTest : public testing::Test
{
protected:
    Outcome<admin::AcceptedMessage> change(std::deque<Step> steps)
    {
        m_script = std::make_unique<ScriptedHandler>(std::move(steps));
        TestServer server(m_script->handler());
        return changeAt({ server.endpoint() });
    }

    static Outcome<admin::AcceptedMessage> changeAt(std::vector<wire::Endpoint> servers)
    {
        ClientOptions options;
        options.servers = std::move(servers);
        options.pause = std::chrono::milliseconds(1);
        OperatorsClient client(options);
        const peer::SettingsChange change { "id-1", 1, "", "", { { "fleet/weight", "2" } }, "" };
        return client.change(change);
    }

    std::unique_ptr<ScriptedHandler> m_script;
};

// The instance that received the change stops before it answers. The client must find out whether
// the change was applied without making it twice, so it sends the same id again.
TEST_F(OperatorsClientTest, ALostAnswerIsAskedForAgainWithTheSameId)
{
    const auto accepted = change({ Step::DropConnection, Step::Unknown, Step::Accept });
    ASSERT_TRUE(accepted.has_value()) << accepted.error().refusal.error.message;
    EXPECT_EQ(accepted->version, 7U);
    EXPECT_THAT(m_script->ids(), testing::ElementsAre("id-1", "id-1", "id-1"));
}

// After a lost answer the platform's table goes down, or the key is no longer accepted. Each repeat
// is answered with "not applied", which holds for that repeat only. Taking it for the outcome would
// report a change that is in force as refused.
TEST_F(OperatorsClientTest, AfterALostAnswerNotAppliedDoesNotSettleTheOutcome)
{
    for (const Step later : { Step::NotApplied, Step::WrongKey }) {
        const auto accepted = change({ Step::DropConnection, later });
        ASSERT_FALSE(accepted.has_value());
        EXPECT_EQ(accepted.error().code, ExitCode::OutcomeUnknown);
    }
}

TEST_F(OperatorsClientTest, RefusalsEndAtOnceAndNotAppliedIsTriedAgain)
{
    EXPECT_EQ(change({ Step::Conflict }).error().code, ExitCode::Refused);
    EXPECT_EQ(m_script->ids().size(), 1U);
    EXPECT_EQ(change({ Step::WrongKey }).error().code, ExitCode::Refused);
    EXPECT_EQ(m_script->ids().size(), 1U);
    EXPECT_EQ(change({ Step::NotApplied }).error().code, ExitCode::Unreachable);
    EXPECT_EQ(m_script->ids().size(), 3U);
    EXPECT_TRUE(change({ Step::NotApplied, Step::Accept }).has_value());
}

TEST_F(OperatorsClientTest, TriesTheNextServerWhereOneIsGone)
{
    ScriptedHandler script({ Step::Accept });
    TestServer alive(script.handler());
    wire::Endpoint gone;
    {
        TestServer server(script.handler());
        gone = server.endpoint();
    }
    EXPECT_TRUE(changeAt({ gone, alive.endpoint() }).has_value());
    const auto unreachable = changeAt({ gone });
    ASSERT_FALSE(unreachable.has_value());
    EXPECT_EQ(unreachable.error().code, ExitCode::Unreachable);
}

} // namespace
} // namespace snipestall::ctl
