#pragma once

#include "snipestall/policy/command.hpp"
#include "snipestall/policy/time.hpp"

#include <optional>

namespace snipestall::policy {

struct Flow;
struct Request;
struct State;

struct LimitReached
{
    RefusalReason reason = RefusalReason::RateLimit;
    Duration wait {};
};

/// This instance's part of the customer's limits on the service; nothing is taken yet.
std::optional<LimitReached> checkLimit(const State &state, const Request &request);

void takeLimits(State &state, Request &request);

/// Puts the limits of the flow's leaf in force, divided over the instances of the data centre.
void configureLimits(const State &state, Flow &flow);

} // namespace snipestall::policy
