#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace prometheus {
class Registry;
}

namespace snipestall::settings {
struct ClassSettings;
}

namespace snipestall::admin {

struct InstanceStatus;

/// Label by which requests are counted. Customers' names are not used as labels, because their
/// number would multiply the number of time series.
enum class RequestClass : int {
    Short,
    Long,
    Plain,
};

enum class RequestOutcome {
    Completed,
    NotRun,
    Unknown,
    Failed,
};

enum class ControlDirection {
    Sent,
    Received,
};

/// Counters that other components of an instance maintain, counted since its start.
struct InstanceTotals
{
    std::uint64_t attempts = 0;
    std::uint64_t forwards = 0;
    std::uint64_t answersDropped = 0;
    std::uint64_t tokensRecomputed = 0;
    std::uint64_t platformTransactions = 0;
    std::uint64_t platformRowWrites = 0;
    std::uint64_t platformReads = 0;
    std::uint64_t platformFailures = 0;
    std::uint64_t claimsAbandoned = 0;
};

/// The product's metric families, listed in docs/metrics.md. Updates are thread-safe and cheap
/// enough to be made for every request and token.
///
///     auto metrics = Metrics::create();
///     metrics->requestEnded(RequestClass::Short, RequestOutcome::Completed);
class Metrics
{
public:
    static std::unique_ptr<Metrics> create();
    /// Registers the families in `registry`. If it already holds them, both objects update the same
    /// metrics.
    static std::unique_ptr<Metrics> createIn(std::shared_ptr<prometheus::Registry> registry);
    ~Metrics();

    [[nodiscard]] std::shared_ptr<prometheus::Registry> registry() const;

    void requestArrived(RequestClass requestClass);
    void requestEnded(RequestClass requestClass, RequestOutcome outcome);
    /// `delay` is the time from a request's arrival to the first byte of its answer.
    void observeFirstToken(RequestClass requestClass, std::chrono::nanoseconds delay);
    /// `delay` is the time between two tokens of one stream.
    void observeInterToken(RequestClass requestClass, std::chrono::nanoseconds delay);
    void deadlineMissed(RequestClass requestClass);

    void setQueueLength(std::string_view service, std::uint64_t waiting);
    /// Slots of the backend servers of `service` that this instance owns.
    void setSlots(std::string_view service, std::uint64_t total, std::uint64_t used);
    void addTokensGenerated(RequestClass requestClass, std::uint64_t tokens);
    /// Price of the backend servers that this instance owns, in units per hour.
    void setCost(std::string_view service, double unitsPerHour);

    /// Adds bytes exchanged between instances, without requests and their answers.
    void addControlBytes(ControlDirection direction, std::uint64_t bytes);
    void setSettingsVersion(std::uint64_t version);
    void setStewardLease(bool isHeld);
    /// Raises the counters to totals that other components maintain. A total that is below its
    /// counter is ignored, because a Prometheus counter must not decrease.
    void setTotals(const InstanceTotals &totals);
    /// Adds accepted requests that this instance handed to another when it left.
    void addHandedOverRequests(std::uint64_t requests);

    /// Sets every gauge whose value an instance's status holds: settings version, steward lease,
    /// queue lengths and slots.
    void updateFrom(const InstanceStatus &status);
    /// Sets each service's cost: the sum of the prices per hour in `classes` of the status' backend
    /// servers. Call it after updateFrom() with the same status: a service that has lost its last
    /// backend server is then set to 0.
    void setCosts(const InstanceStatus &status,
                  const std::vector<settings::ClassSettings> &classes);

private:
    struct Families;
    explicit Metrics(std::unique_ptr<Families> families);

    std::unique_ptr<Families> m_families;
};

/// The text of docs/metrics.md, in Markdown, generated from the table that defines the families.
std::string metricsPage();

} // namespace snipestall::admin
