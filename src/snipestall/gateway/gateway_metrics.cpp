#include "snipestall/gateway/gateway_metrics.hpp"

#include "snipestall/gateway/connection_registry.hpp"
#include "snipestall/gateway/gateway_state.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace snipestall::gateway {

namespace {

/// Bucket bounds in seconds, dense around target latencies from 0.1 s to 1.5 s.
const prometheus::Histogram::BucketBoundaries LatencyBounds {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.2, 1.5, 2.0, 4.0, 10.0
};

/// Bucket bounds of ratios, dense around a prediction that is right.
const prometheus::Histogram::BucketBoundaries RatioBounds { 0.25, 0.5, 0.7, 0.9, 1.1, 1.4, 2, 4 };

struct Gauge
{
    const char *name;
    const char *help;
    double (*value)(const GatewayState &state);
};

double serversInUse(const GatewayState &state)
{
    double count = 0;
    for (const auto &[id, server] : state.servers.all())
        count += server->takesWork() ? 1 : 0;
    return count;
}

double versionsPending(const GatewayState &state)
{
    const auto versions = state.listedStreamVersions();
    return static_cast<double>(
        std::ranges::count_if(versions, [&state](const serving::StreamOrigin &version) {
            return !state.streamVersions.mayBegin(version, state.clock.steadyNow());
        }));
}

/// Help texts are part of the exported metrics and stay stable.
constexpr std::array<Gauge, 35> Gauges { {
    { "snipestall_gateway_requests", "Requests read since the start.",
      [](const GatewayState &s) { return double(s.counters.requests); } },
    { "snipestall_gateway_answered", "Requests answered by a backend server since the start.",
      [](const GatewayState &s) { return double(s.counters.answered); } },
    { "snipestall_gateway_refused", "Requests refused as not run since the start.",
      [](const GatewayState &s) { return double(s.counters.refused); } },
    { "snipestall_gateway_overload_refused",
      "Requests refused since the start because they would have been late at every server.",
      [](const GatewayState &s) { return double(s.counters.overloadRefused); } },
    { "snipestall_gateway_memory_refused",
      "Requests refused since the start while they arrived, for want of memory.",
      [](const GatewayState &s) { return double(s.counters.memoryRefused); } },
    { "snipestall_gateway_connections", "Open connections of callers and of other instances.",
      [](const GatewayState &s) { return double(s.connections->size()); } },
    { "snipestall_gateway_connection_bytes",
      "Bytes of requests and answers that these connections hold.",
      [](const GatewayState &s) { return double(s.connections->held()); } },
    { "snipestall_gateway_connections_given_up",
      "Connections since the start whose request or answer was given up so that others could be "
      "served.",
      [](const GatewayState &s) { return double(s.connections->givenUp()); } },
    { "snipestall_gateway_failed", "Requests that ended in a failure since the start.",
      [](const GatewayState &s) { return double(s.counters.failed); } },
    { "snipestall_gateway_callers_gone", "Callers that left before their answer.",
      [](const GatewayState &s) { return double(s.counters.callersGone); } },
    { "snipestall_gateway_attempts", "Sends to backend servers since the start.",
      [](const GatewayState &s) { return double(s.counters.attempts); } },
    { "snipestall_gateway_repeats", "Sends beyond the first of their request since the start.",
      [](const GatewayState &s) { return double(s.counters.repeats); } },
    { "snipestall_gateway_forwarded",
      "Requests forwarded to other instances, because this one reached no backend server.",
      [](const GatewayState &s) { return double(s.counters.forwarded); } },
    { "snipestall_gateway_cut_off", "1 while this instance reaches no backend server.",
      [](const GatewayState &s) { return s.reach.cutOff() ? 1.0 : 0.0; } },
    { "snipestall_gateway_changes_fetched",
      "Changes of tables of the store that were fetched from another instance, because they are "
      "too "
      "large for a report.",
      [](const GatewayState &s) { return double(s.counters.changesFetched); } },
    { "snipestall_gateway_streams_resumed",
      "Streams that callers took up and that went on at the version that began them.",
      [](const GatewayState &s) { return double(s.counters.resumed); } },
    { "snipestall_gateway_resumes_unknown",
      "Streams that callers took up and that were refused, because it is not known which version "
      "began them.",
      [](const GatewayState &s) { return double(s.counters.resumesUnknown); } },
    { "snipestall_gateway_resumes_without_server",
      "Streams that callers took up and that were refused for want of a server of their version.",
      [](const GatewayState &s) { return double(s.counters.resumesWithoutServer); } },
    { "snipestall_gateway_resumes_from_store",
      "Streams that callers took up whose origin only the store knew.",
      [](const GatewayState &s) { return double(s.counters.resumesFromStore); } },
    { "snipestall_gateway_stream_groups_written",
      "Rows with records of begun streams that were written into the store.",
      [](const GatewayState &s) { return double(s.counters.streamGroupsWritten); } },
    { "snipestall_gateway_stream_groups_failed",
      "Writes of such rows that failed or whose answer was lost.",
      [](const GatewayState &s) { return double(s.counters.streamGroupsFailed); } },
    { "snipestall_gateway_versions_pending",
      "Listed software versions whose servers may not begin streams yet.", versionsPending },
    { "snipestall_gateway_stream_records", "Streams whose origin is known here.",
      [](const GatewayState &s) { return double(s.streamRecords.size()); } },
    { "snipestall_gateway_blocked_parts",
      "Parts of prompts that are refused because they crash servers.",
      [](const GatewayState &s) { return double(s.crashes.parts().blockedParts()); } },
    { "snipestall_gateway_repeats_refused",
      "Sends beyond the first that the limit on repeats refused since the start.",
      [](const GatewayState &s) { return double(s.counters.repeatsRefused); } },
    { "snipestall_gateway_attempts_stalled",
      "Attempts since the start whose server was silent for far longer than predicted.",
      [](const GatewayState &s) { return double(s.counters.stalled); } },
    { "snipestall_gateway_attempts_replaced",
      "Those of the stalled attempts that were ended and sent to another server.",
      [](const GatewayState &s) { return double(s.counters.stalledReplaced); } },
    { "snipestall_gateway_server_losses",
      "Attempts since the start at servers that could not be reached or broke the connection.",
      [](const GatewayState &s) { return double(s.counters.serverLosses); } },
    { "snipestall_gateway_in_flight", "Requests that have no final answer yet.",
      [](const GatewayState &s) { return double(s.requestsInFlight); } },
    { "snipestall_gateway_servers", "Backend servers that take work, as known here.",
      serversInUse },
    { "snipestall_gateway_limited_servers", "Backend servers that have named a limit.",
      [](const GatewayState &s) { return double(s.limits.size()); } },
    { "snipestall_gateway_resting_servers",
      "Backend servers that have asked this instance to send them nothing for a time.",
      [](const GatewayState &s) { return double(s.servers.notices().rests()); } },
    { "snipestall_gateway_config_version", "Version of the configuration in force; 0 for none.",
      [](const GatewayState &s) { return s.catalogue ? double(s.catalogue->version()) : 0; } },
    { "snipestall_gateway_draining", "1 while a graceful shutdown runs.",
      [](const GatewayState &s) { return s.draining() ? 1.0 : 0.0; } },
    { "snipestall_gateway_time_known", "1 once the common time of day is known.",
      [](const GatewayState &s) { return s.commonTime.known() ? 1.0 : 0.0; } },
} };

double secondsOf(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

struct GatewayMetrics::Families
{
    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram> *firstByte = nullptr;
    prometheus::Family<prometheus::Histogram> *duration = nullptr;
    prometheus::Family<prometheus::Histogram> *prediction = nullptr;
    prometheus::Histogram *loopDelay = nullptr;
};

GatewayMetrics::GatewayMetrics()
    : m_families(std::make_unique<Families>())
{
    m_families->firstByte = &prometheus::BuildHistogram()
                                 .Name("snipestall_gateway_first_byte_seconds")
                                 .Help("From a request's arrival to the first byte of its answer.")
                                 .Register(m_families->registry);
    m_families->duration = &prometheus::BuildHistogram()
                                .Name("snipestall_gateway_request_seconds")
                                .Help("From a request's arrival to its end, by status.")
                                .Register(m_families->registry);
    m_families->prediction =
        &prometheus::BuildHistogram()
             .Name("snipestall_gateway_first_event_ratio")
             .Help("Time to the first event of a prompt, seen by predicted, by service.")
             .Register(m_families->registry);
    m_families->loopDelay = &prometheus::BuildHistogram()
                                 .Name("snipestall_gateway_loop_delay_seconds")
                                 .Help("How late the process came to its events.")
                                 .Register(m_families->registry)
                                 .Add({}, LatencyBounds);
}

GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::recordFirstByte(const std::string &service, std::chrono::nanoseconds waited)
{
    m_families->firstByte->Add({ { "service", service } }, LatencyBounds)
        .Observe(secondsOf(waited));
}

void GatewayMetrics::recordPrediction(const std::string &service, double ratio)
{
    m_families->prediction->Add({ { "service", service } }, RatioBounds).Observe(ratio);
}

void GatewayMetrics::recordRequestEnd(unsigned status, std::chrono::nanoseconds took)
{
    m_families->duration->Add({ { "status", std::to_string(status) } }, LatencyBounds)
        .Observe(secondsOf(took));
}

void GatewayMetrics::recordLoopDelay(std::chrono::nanoseconds delay)
{
    m_families->loopDelay->Observe(secondsOf(delay));
}

std::string GatewayMetrics::render(const GatewayState &state)
{
    for (const Gauge &gauge : Gauges) {
        prometheus::BuildGauge()
            .Name(gauge.name)
            .Help(gauge.help)
            .Register(m_families->registry)
            .Add({})
            .Set(gauge.value(state));
    }
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, m_families->registry.Collect());
    return text.str();
}

} // namespace snipestall::gateway
