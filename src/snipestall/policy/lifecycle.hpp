#pragma once

#include "snipestall/policy/command.hpp"
#include "snipestall/policy/time.hpp"

namespace snipestall::policy {

struct Request;
struct Server;
struct State;

/// Transitions of a request. Only these functions change a request's phase, so that the queue, the
/// timers and the slots always agree with it.

/// Estimates the cost and the time of the work that is left to do.
void estimate(Request &request);

void enqueue(State &state, Request &request);

/// Queues the request again once `wait` has passed.
void delay(State &state, Request &request, Duration wait);

void dispatch(State &state, Request &request, Server &server);

/// Restarts the request's stream on another server, which replaces its running attempt.
void moveTo(State &state, Request &request, Server &target, MoveMethod method);

void forward(State &state, Request &request, PeerHandle peer);

/// Ends the present phase: removes the request from the queue, the timers or its slot. The request
/// must get a new phase or be finished in the same step.
void leavePhase(State &state, Request &request);

/// Ends the request without a command, because the I/O layer already knows the outcome.
void finish(State &state, Request &request);

/// Ends the request with a refusal.
void refuse(State &state, Request &request, RefusalReason reason, Duration retryAfter);

} // namespace snipestall::policy
