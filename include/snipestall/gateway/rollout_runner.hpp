#pragma once

#include "platform/store_row.hpp"
#include "snipestall/serving/rollout_plan.hpp"
#include "snipestall/wire/task.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace snipestall::platform {
class StoreClient;
}

namespace snipestall::gateway {

struct GatewayState;

/// Carries out the operators' rollouts. The holder of the lease decides the stages of each order,
/// stores them and reports to the operators; every other instance follows the stages that it hears.
class RolloutRunner
{
public:
    /// `followedByAll` returns the lowest number of a stage of a service that the instances in
    /// contact follow.
    struct Hooks
    {
        std::function<bool()> holdsLease;
        std::function<std::int64_t()> fencingToken;
        std::function<std::uint64_t(const std::string &service)> followedByAll;
    };

    RolloutRunner(GatewayState &state, platform::StoreClient &store, Hooks hooks);

    /// Does what is due; to be called once per interval of the exchange, with which stages and
    /// counts travel.
    wire::Task<void> tick();

private:
    /// A stored record, the version of its row, and the versions that are out of service.
    struct StoredRecord
    {
        serving::RolloutRecord record;
        std::set<std::string> barred;
        std::int64_t version = 0;
    };

    /// Reads all records and applies those that have ended. Returns false if the store didn't
    /// answer.
    wire::Task<bool> readRecords();
    void applyRecord(const std::string &service, const StoredRecord &stored);
    /// Reads the records again while this instance hears no stage of an active order: it may be
    /// separated from the others, but not from the store.
    wire::Task<void> readIfUnheard();
    wire::Task<void> decide();
    wire::Task<void> advance(serving::RolloutPlan &plan);
    /// Creates plans for the active orders that have none. Returns false if the records could not
    /// be read.
    wire::Task<bool> createPlans();
    void issue(serving::RolloutPlan &plan);
    wire::Task<void> store(serving::RolloutPlan &plan);
    /// Finds out whether a write without a clear answer took effect.
    wire::Task<void> settle(serving::RolloutPlan &plan, const serving::RolloutRecord &record);
    [[nodiscard]] serving::RolloutState stateOf(const serving::RolloutPlan &plan) const;
    void judge();

    GatewayState &m_state;
    platform::StoreClient &m_store;
    Hooks m_hooks;
    std::map<std::string, StoredRecord> m_records;
    /// By order. Every instance judges, so that the next holder of the lease knows at once what the
    /// last one knew.
    std::map<std::int64_t, serving::RolloutJudge> m_judges;
    /// By service; only at the holder of the lease.
    std::map<std::string, std::unique_ptr<serving::RolloutPlan>> m_plans;
    std::int64_t m_fencingToken = 0;
    SteadyTime m_heardAt;
    SteadyTime m_recordsReadAt;
};

} // namespace snipestall::gateway
