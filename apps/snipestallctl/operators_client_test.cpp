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

/// What a scripted server does with one call.
enum class Step {
    CutAfterReading,
    Accept,
    NotIn,
    Unknown,
    Conflict,
    WrongKey,
};

/// Answers calls as told, and keeps the change ids it was sent. The last step repeats.
class Script
{
public:
    explicit Script(std::deque<Step> steps)
        : m_steps(std::move(steps))
    { }

    wire::HttpServer::Handler handler()
    {
        return [this](wire::HttpExchange &exchange) -> wire::Task<void> { return play(exchange); };
    }

    std::vector<std::string> ids()
    {
        const std::lock_guard lock(m_mutex);
        return m_ids;
    }

private:
    wire::Task<void> play(wire::HttpExchange &exchange)
    {
        const auto change = admin::decodeChange(exchange.request().body);
        const Step step = next(change ? change->id : "?");
        if (step == Step::CutAfterReading) {
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
        case Step::NotIn:
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
        m_script = std::make_unique<Script>(std::move(steps));
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

    std::unique_ptr<Script> m_script;
};

// The instance that took the change dies before its answer goes out. The operator must learn
// whether the change is in, without making it twice: the same id is sent again.
TEST_F(OperatorsClientTest, ALostAnswerIsAskedForAgainWithTheSameId)
{
    const auto accepted = change({ Step::CutAfterReading, Step::Unknown, Step::Accept });
    ASSERT_TRUE(accepted.has_value()) << accepted.error().refusal.error.message;
    EXPECT_EQ(accepted->version, 7U);
    EXPECT_THAT(m_script->ids(), testing::ElementsAre("id-1", "id-1", "id-1"));
}

// After a lost answer the platform's table goes down, or the key is no longer accepted. Each repeat
// says "not in", but of itself only; taking that for the whole would call a change in force
// refused.
TEST_F(OperatorsClientTest, AfterALostAnswerNotInDoesNotSettleIt)
{
    for (const Step later : { Step::NotIn, Step::WrongKey }) {
        const auto accepted = change({ Step::CutAfterReading, later });
        ASSERT_FALSE(accepted.has_value());
        EXPECT_EQ(accepted.error().code, ExitCode::OutcomeUnknown);
    }
}

TEST_F(OperatorsClientTest, RefusalsEndAtOnceAndNotInIsTriedAgain)
{
    EXPECT_EQ(change({ Step::Conflict }).error().code, ExitCode::Refused);
    EXPECT_EQ(m_script->ids().size(), 1U);
    EXPECT_EQ(change({ Step::WrongKey }).error().code, ExitCode::Refused);
    EXPECT_EQ(m_script->ids().size(), 1U);
    EXPECT_EQ(change({ Step::NotIn }).error().code, ExitCode::Unreachable);
    EXPECT_EQ(m_script->ids().size(), 3U);
    EXPECT_TRUE(change({ Step::NotIn, Step::Accept }).has_value());
}

TEST_F(OperatorsClientTest, TriesTheNextServerWhereOneIsGone)
{
    Script script({ Step::Accept });
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
