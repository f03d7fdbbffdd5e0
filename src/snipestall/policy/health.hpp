#pragma once

#include "snipestall/policy/time.hpp"

namespace snipestall::policy {

struct Pool;
struct PoolSummary;
struct Request;
struct Server;
struct State;

/// Detection of unhealthy backend servers by comparison with their pool: slow servers and servers
/// that fail are ejected, at most a third of a pool, and readmitted after a successful probe.

/// Records the time that one output token, or one call of a plain service, took.
void observeSpeed(Server &server, Duration taken);

/// Adds the figures with which peers compare their servers to those of this pool.
void describeHealth(const Pool &pool, PoolSummary &summary);

/// Extends the time by which the server must next show progress: a progress report or a dispatch
/// happened now, and the next report is due `within` plus the stall time.
void expectProgress(const State &state, Server &server, Duration within);

/// Records that an attempt on an owned server succeeded; its request must still hold the slot.
void observeSuccess(const Request &request);

/// Records that an attempt on an owned server failed; its request must still hold the slot.
void observeFailure(State &state, const Request &request);

/// A server in HealthState::Probing on which this request may be run as a probe; null when there is
/// none, which is the usual case.
Server *serverToProbe(State &state, const Request &request);

/// Frees slots that were kept occupied after fast failures.
void endPenalties(State &state);

/// Compares the servers of each pool, about once a second.
void reviewServers(State &state);

} // namespace snipestall::policy
