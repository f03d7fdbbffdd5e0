#pragma once

#include "snipestall/policy/time.hpp"

namespace snipestall::policy {

struct Pool;
struct PoolSummary;
struct Request;
struct Server;
struct State;

/// Judges backend servers by comparison with their pool: slow ones and those that fail are
/// ejected, a third of a pool at most, and let back in after a probe.

/// Time that one output token, or one call of a plain service, took.
void observeSpeed(Server &server, Duration taken);

/// What peers need for comparing their servers with these.
void describeHealth(const Pool &pool, PoolSummary &summary);

/// Something came from the server, or was sent to it: the next must come within a while.
void expectProgress(const State &state, Server &server, Duration within);

/// An attempt on an owned server ended well; its request still holds the slot.
void observeSuccess(const Request &request);

/// An attempt on an owned server failed; its request still holds the slot.
void observeFailure(State &state, const Request &request);

/// A server on probation that this request may try out; usually null.
Server *serverToProbe(State &state, const Request &request);

/// Frees slots that were kept after fast failures.
void endPenalties(State &state);

/// Compares the servers of each pool, about once a second.
void reviewServers(State &state);

} // namespace snipestall::policy
