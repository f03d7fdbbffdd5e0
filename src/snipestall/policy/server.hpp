#pragma once

#include "snipestall/policy/handles.hpp"
#include "snipestall/policy/time.hpp"

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>

namespace snipestall::policy {

struct Pool;
struct Request;

enum class HealthState {
    Healthy,
    /// Readmitted for one request at a time.
    Probing,
    /// Gets no work for a while.
    Ejected,
};

/// Row of the backend server table: one incarnation of an owned backend server.
struct Server
{
    /// Pace that neither raises nor lowers the concurrency limit.
    static constexpr double NeutralPace = 0.9;

    ServerHandle handle;
    Pool *pool = nullptr;
    std::string dataCentre;
    std::string instanceClass;
    /// Number of requests that the server can run concurrently.
    std::uint32_t slots = 0;
    /// Number of requests that the server is given concurrently, after adaptation.
    std::uint32_t limit = 0;

    bool leaving = false;
    bool gone = false;

    /// While the server is leaving: the time at which it is gone, the time at which half of the
    /// notice has passed, and the time at which its exports are done.
    Time noticeEnds;
    Time noticeHalf;
    Time exportsEnd;
    /// Number of streams moved here whose first token has not come yet.
    std::uint32_t imports = 0;

    /// Handles of the requests whose attempts run on the server.
    std::set<std::uint64_t> requests;
    /// Number of these requests that may not use the reserved slots.
    std::uint32_t runningNonUrgent = 0;
    /// Number of these requests that are patient work.
    std::uint32_t runningPatient = 0;

    /// Recent average of the time for one token divided by the target time; 1 just meets the
    /// target.
    double pace = NeutralPace;
    Time limitAdjustedAt;

    /// Requests that other instances sent to the server, derived from the server's own report.
    std::uint32_t foreignRequests = 0;
    /// Largest number of concurrent requests since the last report, and in the interval before it.
    std::uint32_t peak = 0;
    std::uint32_t previousPeak = 0;

    HealthState healthState = HealthState::Healthy;
    Time probeAt;
    Duration probeWait {};
    /// Recent average time in seconds for one output token or one plain call.
    double workSeconds = 0;
    std::uint32_t speedSamples = 0;
    /// Latest time by which the attempts that run there must show progress.
    Time progressDue;
    /// Recent share of attempts that failed.
    double failureRate = 0;
    std::uint32_t resultSamples = 0;
    /// Slots kept occupied after fast failures.
    std::uint32_t penalties = 0;

    /// The suspect that the server is reserved for; null when the server is open to all requests.
    Request *suspect = nullptr;

    [[nodiscard]] std::uint32_t running() const
    {
        return static_cast<std::uint32_t>(requests.size());
    }
    /// Slots in use, including those used by other instances or kept as penalties.
    [[nodiscard]] std::uint32_t occupied() const { return running() + foreignRequests + penalties; }
    /// Whether the server takes new work.
    [[nodiscard]] bool usable() const
    {
        return !leaving && !gone && !suspect && healthState != HealthState::Ejected;
    }
    /// Number of requests that the server is given concurrently now.
    [[nodiscard]] std::uint32_t effectiveLimit() const
    {
        return healthState == HealthState::Probing ? std::min(limit, 1U) : limit;
    }
    [[nodiscard]] std::uint32_t freeSlots() const
    {
        return usable() && occupied() < effectiveLimit() ? effectiveLimit() - occupied() : 0;
    }
};

} // namespace snipestall::policy
