#pragma once

#include "snipestall/policy/queue_lane.hpp"
#include "snipestall/policy/time.hpp"
#include "snipestall/policy/token_bucket.hpp"
#include "snipestall/settings/leaf_settings.hpp"

#include <array>
#include <cstdint>
#include <set>
#include <utility>

namespace snipestall::policy {

struct Request;

/// Position of a request in a lane of its flow: by latest start, then by order of arrival.
using QueueKey = std::pair<Time, std::uint64_t>;

struct QueuedRequest
{
    QueueKey key;
    Request *request = nullptr;

    bool operator<(const QueuedRequest &other) const { return key < other.key; }
};

/// Row of the customer table: one customer's use of one service, which is a leaf of the settings
/// tree.
struct Flow
{
    std::uint32_t id = 0;
    settings::LeafSettings leaf;
    bool configured = false;

    TokenBucket requestBucket;
    TokenBucket tokenBucket;
    /// Requests that were admitted here and have not ended.
    std::uint32_t activeRequests = 0;
    /// Average share of `maxTokens` that the flow's requests actually produce.
    double outputFraction = 0.6;

    /// Cost served so far divided by weight; the flow with the lowest value is served next.
    double virtualTime = 0;
    std::array<std::set<QueuedRequest>, LaneCount> lanes;
    std::array<Duration, LaneCount> queuedSlotTime {};

    [[nodiscard]] std::size_t queued() const
    {
        std::size_t count = 0;
        for (const auto &lane : lanes)
            count += lane.size();
        return count;
    }
    [[nodiscard]] bool idle() const { return queued() == 0; }
};

} // namespace snipestall::policy
