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

/// The families in the order of the table.
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

/// One metric family.
struct MetricInfo
{
    MetricId id;
    MetricKind kind;
    std::string_view name;
    /// Names of labels, separated by commas.
    std::string_view labels;
    std::string_view help;
};

std::span<const MetricInfo> metricTable();

} // namespace snipestall::admin
