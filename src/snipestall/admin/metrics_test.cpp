#include "snipestall/admin/metrics.hpp"

#include "snipestall/admin/instance_status.hpp"

#include "metric_info.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <prometheus/check_names.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <fstream>
#include <iterator>

namespace snipestall::admin {
namespace {

using testing::HasSubstr;

std::string textOf(const Metrics &metrics)
{
    return prometheus::TextSerializer().Serialize(metrics.registry()->Collect());
}

TEST(MetricsTest, NamesFollowPrometheusConventions)
{
    for (const MetricInfo &row : metricTable()) {
        EXPECT_TRUE(prometheus::CheckMetricName(std::string(row.name))) << row.name;
        EXPECT_EQ(row.name.ends_with("_total"), row.kind == MetricKind::Counter) << row.name;
        EXPECT_EQ(row.name.ends_with("_seconds"), row.kind == MetricKind::Histogram) << row.name;
    }
}

TEST(MetricsTest, CountsByClassOutcomeAndService)
{
    const auto metrics = Metrics::create();
    metrics->requestEnded(RequestClass::Short, RequestOutcome::Completed);
    metrics->requestEnded(RequestClass::Short, RequestOutcome::Completed);
    metrics->requestEnded(RequestClass::Plain, RequestOutcome::NotRun);
    metrics->observeFirstToken(RequestClass::Long, std::chrono::milliseconds(1100));
    metrics->setSlots("language", 16, 3);
    metrics->setSettingsVersion(12);
    const std::string text = textOf(*metrics);
    EXPECT_THAT(text,
                HasSubstr("snipestall_requests_total{class=\"short\",outcome=\"completed\"} 2"));
    EXPECT_THAT(text,
                HasSubstr("snipestall_requests_total{class=\"plain\",outcome=\"not-run\"} 1"));
    EXPECT_THAT(text,
                HasSubstr("snipestall_first_token_seconds_bucket{class=\"long\",le=\"1\"} 0"));
    EXPECT_THAT(text,
                HasSubstr("snipestall_first_token_seconds_bucket{class=\"long\",le=\"1.2\"} 1"));
    EXPECT_THAT(text, HasSubstr("snipestall_slots_used{service=\"language\"} 3"));
    EXPECT_THAT(text, HasSubstr("snipestall_settings_version 12"));
}

TEST(MetricsTest, SlotsOfAServiceWithoutServersBecomeZero)
{
    const auto metrics = Metrics::create();
    InstanceStatus status;
    status.backendServers.push_back({ "engine-1", "language", "spot", "up", 8, 2 });
    metrics->updateFrom(status);
    EXPECT_THAT(textOf(*metrics), HasSubstr("snipestall_slots{service=\"language\"} 8"));
    status.backendServers.clear();
    metrics->updateFrom(status);
    EXPECT_THAT(textOf(*metrics), HasSubstr("snipestall_slots{service=\"language\"} 0"));
}

TEST(MetricsTest, TheCommittedPageMatchesTheGeneratedOne)
{
    std::ifstream file(SNIPESTALL_SOURCE_DIR "/docs/metrics.md");
    const std::string page { std::istreambuf_iterator<char>(file), {} };
    EXPECT_EQ(page, metricsPage())
        << "run: build/bin/snipestallctl reference metrics > docs/metrics.md";
}

} // namespace
} // namespace snipestall::admin
