#pragma once

#include "snipestall/policy/command.hpp"
#include "snipestall/policy/event.hpp"

#include <optional>
#include <span>
#include <vector>

namespace snipestall::policy {

/// Deterministic state machine of every decision under load: the same events at the same times
/// give the same commands. Implemented by World, and by the baselines it is measured against.
class DecisionMaker
{
public:
    virtual ~DecisionMaker() = default;

    /// Takes in events that happened up to `now`, runs the systems once, appends commands.
    virtual void step(Time now, std::span<const Event> events, std::vector<Command> &commands) = 0;

    /// When step() is next needed without any event; nothing when idle.
    [[nodiscard]] virtual std::optional<Time> nextWake() const = 0;

    /// What this instance can take, for peers' summaries.
    [[nodiscard]] virtual std::vector<PoolSummary> summaries(Time now) const = 0;
};

} // namespace snipestall::policy
