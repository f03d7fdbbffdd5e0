#pragma once

#include "snipestall/policy/decision_maker.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace snipestall::policy {

/// The product's decision maker. It consists of tables (requests, backend servers, peers,
/// customers, pools) and of systems that process what changed in each step.
///
///     auto world = World::create("samsun-hall", seed);
///     world->step(now, events, commands);
class World final : public DecisionMaker
{
public:
    /// `seed` initialises the random jitter of retry times and has no other use.
    static std::unique_ptr<World> create(std::string dataCentre, std::uint64_t seed);
    ~World() override;

    void step(Time now, std::span<const Event> events, std::vector<Command> &commands) override;
    [[nodiscard]] std::optional<Time> nextWake() const override;
    [[nodiscard]] std::vector<PoolSummary> summaries(Time now) const override;

private:
    struct Tables;
    explicit World(std::unique_ptr<Tables> tables);

    std::unique_ptr<Tables> m_tables;
};

} // namespace snipestall::policy
