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

/// How a request is counted, apart from its customer: customers' names are no labels, since their
/// number would multiply every series.
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

/// Counters that the parts of an instance keep themselves, since its start.
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

/// The product's metric families, listed in docs/metrics.md. Updates are cheap enough for every
/// request and token; they are thread-safe.
///
///     auto metrics = Metrics::create();
///     metrics->requestEnded(RequestClass::Short, RequestOutcome::Completed);
class Metrics
{
public:
    static std::unique_ptr<Metrics> create();
    /// The same families in a registry that may have them already; both then count together.
    static std::unique_ptr<Metrics> createIn(std::shared_ptr<prometheus::Registry> registry);
    ~Metrics();

    [[nodiscard]] std::shared_ptr<prometheus::Registry> registry() const;

    void requestArrived(RequestClass requestClass);
    void requestEnded(RequestClass requestClass, RequestOutcome outcome);
    /// From a request's arrival to the first byte of its answer.
    void firstToken(RequestClass requestClass, std::chrono::nanoseconds delay);
    void interToken(RequestClass requestClass, std::chrono::nanoseconds delay);
    void deadlineMissed(RequestClass requestClass);

    void setQueueLength(std::string_view service, std::uint64_t waiting);
    void setSlots(std::string_view service, std::uint64_t total, std::uint64_t used);
    void tokensGenerated(RequestClass requestClass, std::uint64_t tokens);
    /// Price of the backend servers that this instance owns, in units an hour.
    void setCost(std::string_view service, double unitsPerHour);

    /// Bytes between the system's own processes, requests and their answers left out.
    void controlBytes(ControlDirection direction, std::uint64_t bytes);
    void setSettingsVersion(std::uint64_t version);
    void setStewardLease(bool isHeld);
    /// Takes over counters that others keep; each total must not fall.
    void setTotals(const InstanceTotals &totals);
    void handedOver(std::uint64_t requests);

    /// Every gauge that an instance's status tells: settings version, lease, queues, slots.
    void setFrom(const InstanceStatus &status);
    /// What the backend servers of the status cost at the prices in force.
    void setCosts(const InstanceStatus &status,
                  const std::vector<settings::ClassSettings> &classes);

private:
    struct Families;
    explicit Metrics(std::unique_ptr<Families> families);

    std::unique_ptr<Families> m_families;
};

/// The whole of docs/metrics.md, in Markdown, from the table that the families are made of.
std::string metricsPage();

} // namespace snipestall::admin
