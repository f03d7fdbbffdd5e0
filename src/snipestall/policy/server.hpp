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

enum class Standing {
    Healthy,
    /// Let back in for one request at a time.
    Probing,
    /// Gets no work for a while.
    Ejected,
};

/// Row of the backend server table: one incarnation of an owned backend server.
struct Server
{
    /// Neither fast enough for a higher limit nor slow enough for a lower one.
    static constexpr double RestingPace = 0.9;

    ServerHandle handle;
    Pool *pool = nullptr;
    std::string dataCentre;
    std::string instanceClass;
    /// What the server can run side by side.
    std::uint32_t slots = 0;
    /// What it is given side by side, after adaptation.
    std::uint32_t limit = 0;

    bool leaving = false;
    bool gone = false;

    /// While it leaves: when it is gone, half of the way there, and when its exports are done.
    Time noticeEnds;
    Time noticeHalf;
    Time exportsEnd;
    /// Streams moved here whose first token has not come yet.
    std::uint32_t imports = 0;

    /// Attempts that run on it, by request.
    std::set<std::uint64_t> requests;
    /// Of these, those that may not use the reserved slots.
    std::uint32_t runningOther = 0;
    /// Of these, patient work.
    std::uint32_t runningPatient = 0;

    /// Recent time for one token over its target; 1 is just in time.
    double pace = RestingPace;
    Time adjustedAt;

    /// Requests there that other instances sent, by the server's own report.
    std::uint32_t foreign = 0;
    /// Most that ran side by side since the last report, and in the time before that.
    std::uint32_t peak = 0;
    std::uint32_t lastPeak = 0;

    Standing standing = Standing::Healthy;
    Time probeAt;
    Duration probeWait {};
    /// Recent time for a piece of work.
    double workSeconds = 0;
    std::uint32_t speedSamples = 0;
    /// When at the latest something must come from what runs there.
    Time progressDue;
    /// Recent share of attempts that failed.
    double failureRate = 0;
    std::uint32_t results = 0;
    /// Slots kept after fast failures.
    std::uint32_t penalties = 0;

    /// The one request that it is kept for; null when it is open to all.
    Request *suspect = nullptr;

    [[nodiscard]] std::uint32_t running() const
    {
        return static_cast<std::uint32_t>(requests.size());
    }
    /// Slots in use, by whomever.
    [[nodiscard]] std::uint32_t occupied() const { return running() + foreign + penalties; }
    /// Takes new work.
    [[nodiscard]] bool usable() const
    {
        return !leaving && !gone && !suspect && standing != Standing::Ejected;
    }
    /// What it is given side by side now.
    [[nodiscard]] std::uint32_t allowed() const
    {
        return standing == Standing::Probing ? std::min(limit, 1U) : limit;
    }
    [[nodiscard]] std::uint32_t freeSlots() const
    {
        return usable() && occupied() < allowed() ? allowed() - occupied() : 0;
    }
};

} // namespace snipestall::policy
