#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace snipestall::admin {

enum class MetricKind {
    Counter,
    Gauge,
    Histogram,
};

/// Identifies a metric family, in the order of metricTable().
enum class MetricId : std::uint8_t {
    RequestsArrived,
    Requests,
    FirstToken,
    InterToken,
    DeadlinesMissed,
    QueueLength,
    Slots,
    SlotsUsed,
    Attempts,
    Forwards,
    AnswersDropped,
    TokensRecomputed,
    TokensGenerated,
    Cost,
    ControlBytes,
    SettingsVersion,
    StewardLease,
    PlatformTransactions,
    PlatformWrites,
    PlatformReads,
    PlatformFailures,
    ClaimsAbandoned,
    RequestsHandedOver,
};

/// Describes one metric family.
struct MetricInfo
{
    MetricId id;
    MetricKind kind;
    std::string_view name;
    /// Label names, separated by commas.
    std::string_view labels;
    /// Description, for Prometheus and for docs/metrics.md.
    std::string_view help;
};

/// The table from which the metric families and docs/metrics.md are generated.
std::span<const MetricInfo> metricTable();

} // namespace snipestall::admin
