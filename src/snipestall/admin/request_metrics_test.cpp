#include "snipestall/admin/request_metrics.hpp"

#include "snipestall/admin/metrics.hpp"
#include "snipestall/entry/request_store.hpp"
#include "snipestall/peer/settings_keeper.hpp"

#include <boost/asio/io_context.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace snipestall::admin {
namespace {

using testing::HasSubstr;
using testing::Not;

class RequestMetricsTest : public testing::Test
{
protected:
    RequestMetricsTest() { m_store.observe(RequestMetrics::create(*m_metrics, m_settings)); }

    entry::RequestPtr add(std::uint32_t maxTokens, bool forwarded = false)
    {
        entry::RequestSpec spec;
        spec.id = "r" + std::to_string(maxTokens);
        spec.maxTokens = maxTokens;
        spec.deadline = std::chrono::steady_clock::now() + std::chrono::hours(1);
        auto request =
            entry::Request::create(m_io.get_executor(), std::move(spec), m_store.nextHandle());
        request->forwarded = forwarded;
        m_store.add(request);
        return request;
    }

    static void complete(entry::Request &request)
    {
        entry::FinalAnswer answer;
        answer.outcome = entry::Outcome::Completed;
        request.finish(std::move(answer));
    }

    std::string text() const
    {
        return prometheus::TextSerializer().Serialize(m_metrics->registry()->Collect());
    }

    boost::asio::io_context m_io;
    std::unique_ptr<Metrics> m_metrics = Metrics::create();
    peer::SettingsKeeper m_settings { "north" };
    entry::RequestStore m_store;
};

TEST_F(RequestMetricsTest, CountsARequestItsTokensAndItsEndOnce)
{
    const auto request = add(8);
    request->append(0, "a");
    request->append(1, "b");
    request->append(1, "repeated");
    request->append(2, "c");
    complete(*request);
    complete(*request);
    EXPECT_THAT(text(), HasSubstr("snipestall_requests_arrived_total{class=\"short\"} 1"));
    EXPECT_THAT(text(), HasSubstr("snipestall_first_token_seconds_count{class=\"short\"} 1"));
    EXPECT_THAT(text(), HasSubstr("snipestall_inter_token_seconds_count{class=\"short\"} 2"));
    EXPECT_THAT(text(), HasSubstr("snipestall_tokens_generated_total{class=\"short\"} 3"));
    EXPECT_THAT(text(),
                HasSubstr("snipestall_requests_total{class=\"short\",outcome=\"completed\"} 1"));
    EXPECT_THAT(text(), Not(HasSubstr("deadlines_missed_total{")));
}

// A request that runs here for another home is counted at its home. If it were counted here too,
// the sums over all instances would count each forwarded request twice.
TEST_F(RequestMetricsTest, RequestsOfAnotherHomeAreNotCounted)
{
    const auto request = add(1000, true);
    request->append(0, "a");
    complete(*request);
    EXPECT_THAT(text(), Not(HasSubstr("class=\"long\"")));
}

TEST_F(RequestMetricsTest, TotalsGrowAndNeverFall)
{
    InstanceTotals totals;
    totals.attempts = 5;
    m_metrics->setTotals(totals);
    totals.attempts = 3;
    m_metrics->setTotals(totals);
    EXPECT_THAT(text(), HasSubstr("snipestall_attempts_total 5"));
}

} // namespace
} // namespace snipestall::admin
