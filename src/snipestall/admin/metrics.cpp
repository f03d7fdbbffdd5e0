#include "snipestall/admin/metrics.hpp"

#include "snipestall/admin/instance_status.hpp"
#include "snipestall/settings/class_settings.hpp"

#include "metric_info.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <map>

namespace snipestall::admin {
namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;
using prometheus::Labels;

constexpr std::array ClassNames { "short", "long", "plain" };
constexpr std::array OutcomeNames { "completed", "not-run", "unknown", "failed" };
constexpr std::array DirectionNames { "sent", "received" };

/// Bucket bounds in seconds, closer together around the latency targets: 1.2 s to the first token
/// and 35 ms between tokens.
const Histogram::BucketBoundaries FirstTokenBounds { 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6,
                                                     0.8,  1.0,   1.2,  1.5, 2.0, 4.0, 10.0 };
const Histogram::BucketBoundaries InterTokenBounds { 0.005, 0.01,  0.015, 0.02, 0.025,
                                                     0.03,  0.035, 0.04,  0.05, 0.07,
                                                     0.1,   0.25,  0.5,   1.0,  5.0 };

template<typename Enum, std::size_t Size>
std::string nameOf(const std::array<const char *, Size> &names, Enum value)
{
    return names.at(static_cast<std::size_t>(value));
}

double seconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

struct Metrics::Families
{
    std::shared_ptr<prometheus::Registry> registry;
    std::map<MetricId, Family<Counter> *> counters;
    std::map<MetricId, Family<Gauge> *> gauges;
    std::map<MetricId, Family<Histogram> *> histograms;

    struct Slots
    {
        std::uint64_t total = 0;
        std::uint64_t used = 0;
    };
    /// Slots by service. A service is never removed, so that its gauges fall to 0 when its last
    /// backend server is gone.
    std::map<std::string, Slots> slotsOf;

    explicit Families(std::shared_ptr<prometheus::Registry> sharedRegistry);

    void count(MetricId id, const Labels &labels, std::uint64_t amount = 1)
    {
        counters.at(id)->Add(labels).Increment(static_cast<double>(amount));
    }
    void set(MetricId id, const Labels &labels, double value)
    {
        gauges.at(id)->Add(labels).Set(value);
    }
    void observe(MetricId id, RequestClass requestClass, std::chrono::nanoseconds time,
                 const Histogram::BucketBoundaries &bounds)
    {
        const Labels labels { { "class", nameOf(ClassNames, requestClass) } };
        histograms.at(id)->Add(labels, bounds).Observe(seconds(time));
    }
};

Metrics::Families::Families(std::shared_ptr<prometheus::Registry> sharedRegistry)
    : registry(std::move(sharedRegistry))
{
    for (const MetricInfo &row : metricTable()) {
        const std::string name(row.name);
        const std::string help(row.help);
        if (row.kind == MetricKind::Counter)
            counters[row.id] =
                &prometheus::BuildCounter().Name(name).Help(help).Register(*registry);
        if (row.kind == MetricKind::Gauge)
            gauges[row.id] = &prometheus::BuildGauge().Name(name).Help(help).Register(*registry);
        if (row.kind == MetricKind::Histogram)
            histograms[row.id] =
                &prometheus::BuildHistogram().Name(name).Help(help).Register(*registry);
    }
}

std::unique_ptr<Metrics> Metrics::create()
{
    return createIn(std::make_shared<prometheus::Registry>());
}

std::unique_ptr<Metrics> Metrics::createIn(std::shared_ptr<prometheus::Registry> registry)
{
    auto families = std::make_unique<Families>(std::move(registry));
    return std::unique_ptr<Metrics>(new Metrics(std::move(families)));
}

Metrics::Metrics(std::unique_ptr<Families> families)
    : m_families(std::move(families))
{ }

Metrics::~Metrics() = default;

std::shared_ptr<prometheus::Registry> Metrics::registry() const
{
    return m_families->registry;
}

void Metrics::requestArrived(RequestClass requestClass)
{
    m_families->count(MetricId::RequestsArrived, { { "class", nameOf(ClassNames, requestClass) } });
}

void Metrics::requestEnded(RequestClass requestClass, RequestOutcome outcome)
{
    m_families->count(MetricId::Requests,
                      { { "class", nameOf(ClassNames, requestClass) },
                        { "outcome", nameOf(OutcomeNames, outcome) } });
}

void Metrics::observeFirstToken(RequestClass requestClass, std::chrono::nanoseconds delay)
{
    m_families->observe(MetricId::FirstToken, requestClass, delay, FirstTokenBounds);
}

void Metrics::observeInterToken(RequestClass requestClass, std::chrono::nanoseconds delay)
{
    m_families->observe(MetricId::InterToken, requestClass, delay, InterTokenBounds);
}

void Metrics::deadlineMissed(RequestClass requestClass)
{
    m_families->count(MetricId::DeadlinesMissed, { { "class", nameOf(ClassNames, requestClass) } });
}

void Metrics::setQueueLength(std::string_view service, std::uint64_t waiting)
{
    const Labels labels { { "service", std::string(service) } };
    m_families->set(MetricId::QueueLength, labels, static_cast<double>(waiting));
}

void Metrics::setSlots(std::string_view service, std::uint64_t total, std::uint64_t used)
{
    const Labels labels { { "service", std::string(service) } };
    m_families->set(MetricId::Slots, labels, static_cast<double>(total));
    m_families->set(MetricId::SlotsUsed, labels, static_cast<double>(used));
}

void Metrics::addTokensGenerated(RequestClass requestClass, std::uint64_t tokens)
{
    m_families->count(MetricId::TokensGenerated, { { "class", nameOf(ClassNames, requestClass) } },
                      tokens);
}

void Metrics::setCost(std::string_view service, double unitsPerHour)
{
    m_families->set(MetricId::Cost, { { "service", std::string(service) } }, unitsPerHour);
}

void Metrics::addControlBytes(ControlDirection direction, std::uint64_t bytes)
{
    m_families->count(MetricId::ControlBytes,
                      { { "direction", nameOf(DirectionNames, direction) } }, bytes);
}

void Metrics::setSettingsVersion(std::uint64_t version)
{
    m_families->set(MetricId::SettingsVersion, {}, static_cast<double>(version));
}

void Metrics::setStewardLease(bool isHeld)
{
    m_families->set(MetricId::StewardLease, {}, isHeld ? 1 : 0);
}

void Metrics::setTotals(const InstanceTotals &totals)
{
    struct Total
    {
        MetricId id;
        std::uint64_t InstanceTotals::*member;
    };
    constexpr std::array Totals {
        Total { MetricId::Attempts, &InstanceTotals::attempts },
        Total { MetricId::Forwards, &InstanceTotals::forwards },
        Total { MetricId::AnswersDropped, &InstanceTotals::answersDropped },
        Total { MetricId::TokensRecomputed, &InstanceTotals::tokensRecomputed },
        Total { MetricId::PlatformTransactions, &InstanceTotals::platformTransactions },
        Total { MetricId::PlatformWrites, &InstanceTotals::platformRowWrites },
        Total { MetricId::PlatformReads, &InstanceTotals::platformReads },
        Total { MetricId::PlatformFailures, &InstanceTotals::platformFailures },
        Total { MetricId::ClaimsAbandoned, &InstanceTotals::claimsAbandoned },
    };
    for (const Total &total : Totals) {
        Counter &counter = m_families->counters.at(total.id)->Add({});
        const double newValue = static_cast<double>(totals.*total.member);
        if (newValue > counter.Value())
            counter.Increment(newValue - counter.Value());
    }
}

void Metrics::addHandedOverRequests(std::uint64_t requests)
{
    m_families->count(MetricId::RequestsHandedOver, {}, requests);
}

void Metrics::updateFrom(const InstanceStatus &status)
{
    setSettingsVersion(status.settingsVersion);
    setStewardLease(status.isSteward);
    for (const QueueStatus &queue : status.queues)
        setQueueLength(queue.service, queue.waiting);
    std::map<std::string, Families::Slots> &slotsOf = m_families->slotsOf;
    for (auto &entry : slotsOf)
        entry.second = {};
    for (const BackendServerStatus &server : status.backendServers) {
        Families::Slots &slots = slotsOf[server.service];
        slots.total += server.slots;
        slots.used += server.running;
    }
    for (const auto &[service, slots] : slotsOf)
        setSlots(service, slots.total, slots.used);
}

void Metrics::setCosts(const InstanceStatus &status,
                       const std::vector<settings::ClassSettings> &classes)
{
    std::map<std::string, double> costs;
    for (const auto &entry : m_families->slotsOf)
        costs[entry.first] = 0;
    for (const BackendServerStatus &server : status.backendServers) {
        for (const settings::ClassSettings &instanceClass : classes) {
            if (instanceClass.name == server.instanceClass)
                costs[server.service] += instanceClass.pricePerHour;
        }
    }
    for (const auto &[service, cost] : costs)
        setCost(service, cost);
}

} // namespace snipestall::admin
