#pragma once

#include "platform/kv_cache_client.hpp"
#include "snipestall/base/random.hpp"
#include "snipestall/gateway/attempt_watch.hpp"
#include "snipestall/gateway/backend_pool.hpp"
#include "snipestall/gateway/boot_clock.hpp"
#include "snipestall/gateway/common_time.hpp"
#include "snipestall/gateway/gateway_counters.hpp"
#include "snipestall/gateway/gateway_metrics.hpp"
#include "snipestall/gateway/gateway_settings.hpp"
#include "snipestall/gateway/loop_work.hpp"
#include "snipestall/gateway/stream_watch.hpp"
#include "snipestall/serving/catalogue.hpp"
#include "snipestall/serving/crash_watch.hpp"
#include "snipestall/serving/customer_shares.hpp"
#include "snipestall/serving/demand_meter.hpp"
#include "snipestall/serving/first_event_estimate.hpp"
#include "snipestall/serving/fleet_totals.hpp"
#include "snipestall/serving/forward_targets.hpp"
#include "snipestall/serving/latency_pressure.hpp"
#include "snipestall/serving/loop_lag.hpp"
#include "snipestall/serving/member_usage.hpp"
#include "snipestall/serving/peer_loads.hpp"
#include "snipestall/serving/placement.hpp"
#include "snipestall/serving/quota_keeper.hpp"
#include "snipestall/serving/request_durations.hpp"
#include "snipestall/serving/retry_allowance.hpp"
#include "snipestall/serving/rollout_counts.hpp"
#include "snipestall/serving/rollout_view.hpp"
#include "snipestall/serving/server_limits.hpp"
#include "snipestall/serving/server_reach.hpp"
#include "snipestall/serving/server_table.hpp"
#include "snipestall/serving/shutdown_plan.hpp"
#include "snipestall/serving/slot_shares.hpp"
#include "snipestall/serving/stream_records.hpp"
#include "snipestall/serving/stream_versions.hpp"
#include "snipestall/serving/unseen_work.hpp"
#include "snipestall/serving/usage_ledger.hpp"
#include "snipestall/serving/usage_windows.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>

namespace snipestall::gateway {

class ConnectionRegistry;
class OriginResolver;

/// State that the parts of one gateway process share. Only the thread of the I/O loop accesses it.
struct GatewayState
{
    GatewayState(boost::asio::io_context &loop, GatewaySettings given, std::uint64_t seed);

    boost::asio::io_context &io;
    GatewaySettings settings;
    BootClock clock;
    Random random;
    /// Random number that is new at each start of the process.
    std::uint64_t incarnation;

    /// Name of this process, which is new at each start.
    [[nodiscard]] std::string processName() const
    {
        return settings.instance + "/" + std::to_string(incarnation);
    }

    /// Null until the first configuration is known.
    std::shared_ptr<const serving::Catalogue> catalogue;
    serving::ServerTable servers;
    serving::PeerLoads peerLoads;
    serving::ServerLimits limits;
    serving::SlotShares slotShares;
    serving::ServerReach reach;
    serving::ForwardTargets forwardTargets;
    serving::StreamRecords streamRecords;
    serving::StreamVersions streamVersions;
    serving::FirstEventEstimate firstEvents;
    serving::UnseenWork unseen;
    serving::Placement placement;
    serving::QuotaKeeper quotas;
    serving::CustomerShares shares;
    serving::RetryAllowance retries;
    serving::UsageWindows usage;
    serving::LatencyPressure latency;
    serving::DemandMeter demand;
    serving::UsageLedger usageLedger;
    serving::MemberUsage memberUsage;
    serving::CrashWatch crashes;
    serving::RolloutView rollouts;
    /// Counts of active rollouts.
    serving::FleetTotals rolloutTotals;
    serving::RolloutCounter rolloutCounter { rolloutTotals };
    /// Connections that this instance has accepted.
    std::shared_ptr<ConnectionRegistry> connections;
    CommonTime commonTime;
    BackendPool backends;
    platform::KvCacheClient kvCaches;
    GatewayCounters counters;
    GatewayMetrics metrics;
    serving::LoopLag loopLag;
    serving::RequestDurations durations;
    LoopWork loopWork;

    /// Whether the list of backend servers has been read at least once.
    bool serverListKnown = false;
    /// Whether the list of instances has been read at least once.
    bool instancesKnown = false;
    /// Whether it is known which versions earlier rollouts have left in service.
    bool rolloutsKnown = false;
    /// Returns whether everything is known that a request needs. It is not in a process that has
    /// just started.
    [[nodiscard]] bool canServe() const
    {
        return catalogue && serverListKnown && instancesKnown && rolloutsKnown
            && streamVersions.known() && crashes.parts().known();
    }
    /// Software versions of the listed servers, and those that orders move traffic to, of services
    /// that serve streams which may be continued elsewhere.
    [[nodiscard]] std::set<serving::StreamOrigin> listedStreamVersions() const;
    /// Updates which customers request more than their share.
    void updateShares();
    /// Work that other instances have sent to a service since their last reports, in the unit of
    /// its placement: prompt tokens for engines, fully used servers otherwise.
    [[nodiscard]] double unseenWork(const serving::Service &service) const;
    /// Finds out who began a stream that a caller takes up; set before the first request.
    OriginResolver *originResolver = nullptr;
    /// Time at which a new backend server was last listed.
    SteadyTime serverAddedAt;
    std::int64_t listVersion = 0;
    /// Attempts that wait for the first byte of their answer and may be repeated at another server.
    AttemptWatch attempts;
    /// Running streams that can't be run again.
    StreamWatch streams;
    /// Set once a graceful shutdown has begun.
    std::optional<serving::ShutdownPlan> shutdown;
    [[nodiscard]] bool draining() const { return shutdown.has_value(); }
    /// Returns whether new requests are accepted. It is called for each request at its admission.
    [[nodiscard]] bool takesWork() const
    {
        return !shutdown || shutdown->takesWork(clock.steadyNow());
    }
    std::size_t requestsInFlight = 0;
};

} // namespace snipestall::gateway
