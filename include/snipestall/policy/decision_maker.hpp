#pragma once

#include "snipestall/policy/command.hpp"
#include "snipestall/policy/event.hpp"

#include <optional>
#include <span>
#include <vector>

namespace snipestall::policy {

/// Deterministic state machine that makes every decision about requests: the same events at the
/// same times give the same commands. World implements it, and so do the baselines that World is
/// compared with.
class DecisionMaker
{
public:
    virtual ~DecisionMaker() = default;

    /// Processes the events that happened up to `now`, runs the systems once and appends the
    /// resulting commands.
    virtual void step(Time now, std::span<const Event> events, std::vector<Command> &commands) = 0;

    /// Time at which step() is next needed if no event arrives; no value when idle.
    [[nodiscard]] virtual std::optional<Time> nextWake() const = 0;

    /// The capacity that this instance offers to its peers, one summary per service.
    [[nodiscard]] virtual std::vector<PoolSummary> summaries(Time now) const = 0;
};

} // namespace snipestall::policy
