#include "metric_info.hpp"

#include "snipestall/admin/metrics.hpp"

#include <array>

namespace snipestall::admin {
namespace {

/// Help texts are part of the exported metrics and stay stable.
constexpr std::array Table {
    MetricInfo { MetricId::RequestsArrived, MetricKind::Counter,
                 "snipestall_requests_arrived_total", "class",
                 "Requests that arrived here, refused ones too." },
    MetricInfo { MetricId::Requests, MetricKind::Counter, "snipestall_requests_total",
                 "class,outcome",
                 "Requests ended, by outcome: completed, not-run, unknown, failed." },
    MetricInfo { MetricId::FirstToken, MetricKind::Histogram, "snipestall_first_token_seconds",
                 "class", "Time from a request's arrival to the first byte of its answer." },
    MetricInfo { MetricId::InterToken, MetricKind::Histogram, "snipestall_inter_token_seconds",
                 "class", "Time between two tokens of one stream." },
    MetricInfo { MetricId::DeadlinesMissed, MetricKind::Counter,
                 "snipestall_deadlines_missed_total", "class",
                 "Requests that did not end before their deadline." },
    MetricInfo { MetricId::QueueLength, MetricKind::Gauge, "snipestall_queue_length", "service",
                 "Accepted requests that wait for a slot on this instance." },
    MetricInfo { MetricId::Slots, MetricKind::Gauge, "snipestall_slots", "service",
                 "Slots of the backend servers that this instance owns, as adapted." },
    MetricInfo { MetricId::SlotsUsed, MetricKind::Gauge, "snipestall_slots_used", "service",
                 "Slots in which a request runs." },
    MetricInfo { MetricId::Attempts, MetricKind::Counter, "snipestall_attempts_total", "",
                 "Attempts sent to backend servers of this instance; more than the requests that "
                 "it runs are retries." },
    MetricInfo { MetricId::Forwards, MetricKind::Counter, "snipestall_forwards_total", "",
                 "Attempts passed to another instance, the owner of the backend server." },
    MetricInfo { MetricId::AnswersDropped, MetricKind::Counter, "snipestall_answers_dropped_total",
                 "", "Answers of an attempt other than the one under way, dropped." },
    MetricInfo { MetricId::TokensRecomputed, MetricKind::Counter,
                 "snipestall_tokens_recomputed_total", "",
                 "Tokens computed again because earlier work was lost or could not be reused." },
    MetricInfo { MetricId::TokensGenerated, MetricKind::Counter,
                 "snipestall_tokens_generated_total", "class",
                 "Tokens received for callers of this instance." },
    MetricInfo { MetricId::Cost, MetricKind::Gauge, "snipestall_cost_units_per_hour", "service",
                 "Price of the backend servers that this instance owns." },
    MetricInfo { MetricId::ControlBytes, MetricKind::Counter, "snipestall_control_bytes_total",
                 "direction",
                 "Bytes between instances, without requests and answers: sent, received. "
                 "Not counted yet." },
    MetricInfo { MetricId::SettingsVersion, MetricKind::Gauge, "snipestall_settings_version", "",
                 "Version of the settings in force on this instance; 0 while there is none." },
    MetricInfo { MetricId::StewardLease, MetricKind::Gauge, "snipestall_steward_lease_held", "",
                 "1 while this instance may give its data centre's orders." },
    MetricInfo { MetricId::PlatformTransactions, MetricKind::Counter,
                 "snipestall_platform_transactions_total", "",
                 "Transactions that this instance asked of the platform's table." },
    MetricInfo { MetricId::PlatformWrites, MetricKind::Counter,
                 "snipestall_platform_row_writes_total", "",
                 "Rows in those transactions, of the budget of 200 a second in all." },
    MetricInfo { MetricId::PlatformReads, MetricKind::Counter, "snipestall_platform_reads_total",
                 "", "Reads and scans of the platform's table." },
    MetricInfo { MetricId::PlatformFailures, MetricKind::Counter,
                 "snipestall_platform_failures_total", "",
                 "Calls to the platform that failed or whose answer was lost." },
    MetricInfo { MetricId::ClaimsAbandoned, MetricKind::Counter,
                 "snipestall_claims_abandoned_total", "",
                 "Claims whose write could not be settled; they were never dispatched." },
    MetricInfo { MetricId::RequestsHandedOver, MetricKind::Counter,
                 "snipestall_requests_handed_over_total", "",
                 "Accepted requests that this instance handed to another when it left. "
                 "Not counted yet." },
};

constexpr std::array KindNames { "counter", "gauge", "histogram" };

constexpr std::string_view Introduction = R"(# Metrics

Generated from the table in code by `snipestallctl reference metrics`; a test compares this page
with it.

Prometheus reads the metrics with `GET /metrics` on an instance's operators' listener. No key is
required, because the answer contains no names of customers, no prompts and no keys. Classes are
`short` and `long` (by `short_tokens` of the service) and `plain`.

| metric | kind | labels | meaning |
|---|---|---|---|
)";

} // namespace

std::span<const MetricInfo> metricTable()
{
    return Table;
}

std::string metricsPage()
{
    std::string page(Introduction);
    for (const MetricInfo &row : Table) {
        page.append("| `").append(row.name).append("` | ");
        page.append(KindNames.at(static_cast<std::size_t>(row.kind))).append(" | ");
        page.append(row.labels).append(" | ").append(row.help).append(" |\n");
    }
    return page;
}

} // namespace snipestall::admin
