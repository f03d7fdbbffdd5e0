// Tests of what predictions of first events are learned from, over the whole path on loopback.

#include "gateway_fixture.hpp"

#include <string>

namespace snipestall::gateway {
namespace {

using wire::Task;

class PredictionTest : public GatewayPathTest
{
protected:
    Task<unsigned> sendPrompt()
    {
        const std::string number = std::to_string(++m_sent);
        wire::HttpRequest request;
        request.method = "POST";
        request.target = "/solo/x";
        request.body = "prompt " + number;
        request.fields.set("Host", "a.example");
        request.fields.set("X-Attempt-Id", "prompt-" + number);
        request.fields.set("X-Deadline-Ms", "5000");
        request.fields.set("Authorization", "Bearer secret");
        request.fields.set("X-Model-Name", "m");
        request.fields.set("X-Token-Count", "5000,20");
        request.fields.set("X-Prompt-Prefix", "f" + number + ":5000");
        const auto response = co_await m_client.fetch(m_callers, std::move(request));
        co_return response ? response->status : 0;
    }

    /// Number of first events that were compared with their predictions.
    Task<std::string> comparisons()
    {
        const auto page = co_await fetch(m_metrics, "/metrics");
        const std::string name = "snipestall_gateway_first_event_ratio_count{service=\"ledger\"} ";
        const auto at = page.body.find(name);
        if (at == std::string::npos)
            co_return std::string();
        const auto begin = at + name.size();
        co_return page.body.substr(begin, page.body.find('\n', begin) - begin);
    }

    int m_sent = 0;
};

// Guards against predictions that are far too low for all engines, and a read rate that is far too
// high, after one engine has failed its requests at once: a failure is no first event.
TEST_F(PredictionTest, FailuresAreNotTakenForFirstEvents)
{
    for (TestBackend *backend : { &m_first, &m_second })
        backend->behave(TestBackend::Behaviour::StreamRest);
    publish();
    run([this]() -> Task<void> {
        co_await untilServing();
        // All but the first are predicted: by the number of prompts, and by the read rate, which is
        // known after 8 prompts.
        for (int i = 0; i < 12; ++i)
            EXPECT_EQ(co_await sendPrompt(), 200U);
        const std::string before = co_await comparisons();
        EXPECT_EQ(before, "11");
        for (TestBackend *backend : { &m_first, &m_second })
            backend->behave(TestBackend::Behaviour::Fail);
        for (int i = 0; i < 3; ++i)
            EXPECT_EQ(co_await sendPrompt(), 500U);
        const std::string after = co_await comparisons();
        EXPECT_EQ(after, before);
    });
}

} // namespace
} // namespace snipestall::gateway
