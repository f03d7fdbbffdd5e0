#pragma once

#include "snipestall/policy/command.hpp"
#include "snipestall/policy/time.hpp"

namespace snipestall::policy {

struct Request;
struct Server;
struct State;

/// Transitions of a request; the only functions that change its phase, so that the queue, the
/// timers and the slots always agree with it.

/// Estimates cost and time of what is left to do.
void estimate(Request &request);

void enqueue(State &state, Request &request);

/// Queued again once `wait` has passed.
void delay(State &state, Request &request, Duration wait);

void dispatch(State &state, Request &request, Server &server);

/// Starts the request's stream again on another server, in place of its running attempt.
void moveTo(State &state, Request &request, Server &target, MoveMethod method);

void forward(State &state, Request &request, PeerHandle peer);

/// Leaves its phase: out of the queue, the timers or the slot. It must get a new phase or be
/// finished in the same step.
void withdraw(State &state, Request &request);

/// Ends without a command: the edge already knows the outcome.
void finish(State &state, Request &request);

/// Ends with a refusal, at this very moment.
void refuse(State &state, Request &request, RefusalReason reason, Duration retryAfter);

} // namespace snipestall::policy
