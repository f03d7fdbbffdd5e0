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

/// Place of a request in a lane of its flow: the least time left first, then the order of arrival.
using QueueKey = std::pair<Time, std::uint64_t>;

struct QueuedRequest
{
    QueueKey key;
    Request *request = nullptr;

    bool operator<(const QueuedRequest &other) const { return key < other.key; }
};

/// Row of the customer table: one customer's use of one service (a leaf of the settings tree).
struct Flow
{
    std::uint32_t id = 0;
    settings::LeafSettings leaf;
    bool known = false;

    TokenBucket requestBucket;
    TokenBucket tokenBucket;
    /// Admitted here and not yet ended.
    std::uint32_t live = 0;
    /// Part of `maxTokens` that its requests really produce.
    double outputFraction = 0.6;

    /// Work received, over weight: the flow with the least is served next.
    double virtualTime = 0;
    std::array<std::set<QueuedRequest>, LaneCount> lanes;
    std::array<Duration, LaneCount> queuedService {};

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
