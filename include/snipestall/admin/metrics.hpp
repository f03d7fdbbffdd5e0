#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace prometheus {
class Registry;
}

namespace snipestall::admin {

struct InstanceStatus;

/// How a request is counted, apart from its customer: customers' names are no labels, since their
/// number would multiply every series.
enum class RequestClass {
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

    void requestAccepted(RequestClass requestClass);
    void requestEnded(RequestClass requestClass, RequestOutcome outcome);
    /// From a request's arrival to the first byte of its answer.
    void firstToken(RequestClass requestClass, std::chrono::nanoseconds delay);
    void interToken(RequestClass requestClass, std::chrono::nanoseconds delay);
    void deadlineMissed(RequestClass requestClass);

    void setQueueLength(std::string_view service, std::uint64_t waiting);
    void setSlots(std::string_view service, std::uint64_t total, std::uint64_t used);
    /// `reason` is one of a few fixed words, such as "reclaim", "lost-server" or "cut".
    void retried(std::string_view reason);
    void tokensRecomputed(std::string_view service, std::uint64_t tokens);
    void tokensGenerated(std::string_view service, std::uint64_t tokens);
    /// Price of the backend servers that this instance owns, in units an hour.
    void setCost(std::string_view service, double unitsPerHour);

    /// Bytes between the system's own processes, requests and their answers left out.
    void controlBytes(ControlDirection direction, std::uint64_t bytes);
    void setSettingsVersion(std::uint64_t version);
    void setStewardLease(bool isHeld);
    /// `table` and `result` are fixed words; result is "committed", "conflict", "unavailable" or
    /// "unknown".
    void platformWrite(std::string_view table, std::string_view result);
    void platformReads(std::uint64_t rows);
    void handedOver(std::uint64_t requests);

    /// Every gauge that an instance's status tells: settings version, lease, queues, slots.
    void setFrom(const InstanceStatus &status);

private:
    struct Families;
    explicit Metrics(std::unique_ptr<Families> families);

    std::unique_ptr<Families> m_families;
};

/// The whole of docs/metrics.md, in Markdown, from the table that the families are made of.
std::string metricsPage();

} // namespace snipestall::admin
