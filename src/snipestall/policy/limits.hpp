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

/// Checks the request against this instance's part of the customer's limits on the service, without
/// charging anything.
std::optional<LimitReached> checkLimit(const State &state, const Request &request);

void chargeLimits(State &state, Request &request);

/// Applies the limits of the flow's leaf, divided over the instances of the data centre.
void configureLimits(const State &state, Flow &flow);

} // namespace snipestall::policy
