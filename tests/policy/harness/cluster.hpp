#pragma once

#include "policy/harness/cluster_options.hpp"
#include "policy/harness/command_sink.hpp"
#include "policy/harness/demand_meter.hpp"
#include "policy/harness/deployment.hpp"
#include "policy/harness/entry_node.hpp"
#include "policy/harness/fleet.hpp"
#include "policy/harness/ledger.hpp"
#include "policy/harness/server_listener.hpp"
#include "policy/harness/virtual_loop.hpp"

#include "snipestall/base/random.hpp"

#include <functional>
#include <memory>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace snipestall::policy::harness {

/// Simulates the edges of all instances in one process under virtual time: delivers events to the
/// decision makers and executes their commands on the fake backend servers. Delivers no more than
/// the contract of the decision makers guarantees.
class Cluster final : public CommandSink, public ServerListener
{
public:
    using CallEnded = std::function<void(CallIndex)>;

    Cluster(Deployment deployment, ClusterOptions options);

    /// Submits a call of the ledger to an instance chosen at random.
    void submit(CallIndex call);
    void cancel(CallIndex call);
    void setCallEnded(CallEnded callEnded) { m_callEnded = std::move(callEnded); }

    void reclaim(std::span<FleetServer *const> servers, Duration notice);
    void setReportLag(Duration lag) { m_options.reportLag = lag; }
    void setSettings(const settings::EffectiveSettings &settings);
    void run(Time end);

    [[nodiscard]] VirtualLoop &loop() { return m_loop; }
    [[nodiscard]] Fleet &fleet() { return m_fleet; }
    [[nodiscard]] Ledger &ledger() { return m_ledger; }
    [[nodiscard]] const Deployment &deployment() const { return m_deployment; }

    void execute(EntryNode &node, const Command &command) override;
    void onPrefilled(std::uint64_t work, std::size_t cachedBlocks) override;
    void onTokens(std::uint64_t work, std::uint32_t count) override;
    void onEnded(std::uint64_t work, AttemptResult result) override;
    void onCacheChanged(ServerHandle server, std::span<const PrefixCache::Change> changes) override;
    void onCrashed(ServerHandle server) override;

private:
    struct RunningWork
    {
        std::size_t node = 0;
        AttemptHandle attempt;
        CallIndex call = 0;
        ServerHandle server;
        std::uint32_t prefillTokens = 0;
    };

    void carryOut(EntryNode &node, const Dispatch &command);
    void carryOut(EntryNode &node, const ForwardTo &command);
    void carryOut(EntryNode &node, const Refuse &command);
    void carryOut(EntryNode &node, const CancelAttempt &command);
    void carryOut(EntryNode &node, const MoveStream &command);
    void carryOut(EntryNode &node, const StartInstance &command);
    void carryOut(EntryNode &node, const ReleaseInstance &command);

    void send(EntryNode &node, const Dispatch &command, bool kvImported);
    void arriveAtServer(std::uint64_t work, bool kvImported);
    void dropAttempt(EntryNode &node, AttemptHandle attempt);
    void receiveTokens(std::size_t node, AttemptHandle attempt, std::uint32_t count);
    void receiveEnd(std::size_t node, AttemptHandle attempt, AttemptResult result,
                    Duration retryAfter);
    void finishAttempt(const RunningWork &work, AttemptResult result);
    void finish(CallIndex call, Outcome outcome);
    void relayEnd(const Origin &origin, const EntryNode &from, AttemptResult result,
                  Duration retryAfter);

    void announce(FleetServer &server);
    void deliver(const FleetServer &server, const Event &event);
    void loseServer(FleetServer &server);
    void reportLoad();
    void reportCapacity();
    void repeatCapacityReports();
    [[nodiscard]] CapacityReport capacityOf(const std::string &dataCentre);
    [[nodiscard]] std::uint32_t queuedIn(const std::string &dataCentre,
                                         const std::string &service) const;
    [[nodiscard]] EntryNode &steward(const std::string &dataCentre);
    void release(FleetServer &server);
    void exchangeSummaries();
    [[nodiscard]] Duration delay(const std::string &from, const std::string &to) const;
    [[nodiscard]] RequestArrived arrival(const Call &call, RequestHandle handle) const;

    Deployment m_deployment;
    ClusterOptions m_options;
    VirtualLoop m_loop;
    Random m_random;
    Ledger m_ledger;
    Fleet m_fleet;
    std::vector<std::unique_ptr<EntryNode>> m_nodes;
    std::unordered_map<std::uint64_t, RunningWork> m_works;
    std::unordered_map<CallIndex, std::pair<std::size_t, RequestHandle>> m_homes;
    std::unordered_set<std::uint64_t> m_computedBlocks;
    /// Per request fingerprint: how many servers crashed while the request was in flight, as the
    /// edges of all instances report to each other.
    std::unordered_map<std::uint64_t, std::uint32_t> m_crashesOf;
    std::uint64_t m_lastWork = 0;
    DemandMeter m_demand;
    CallEnded m_callEnded;
};

} // namespace snipestall::policy::harness
