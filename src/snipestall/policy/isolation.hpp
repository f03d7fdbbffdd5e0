#pragma once

namespace snipestall::policy {

struct Pool;
struct Request;
struct Server;
struct State;

/// Runs each request that is suspected of crashing backend servers alone, on a server that is
/// emptied for it, so that a second death affects no other request and identifies its cause.

/// Queues a suspect for a server of its own.
void isolate(State &state, Request &request);

/// Reserves servers for suspects and dispatches those whose server is empty.
void placeSuspects(State &state, Pool &pool);

/// Queues those suspects again that were suspected because of the first of many simultaneous deaths
/// of servers.
void clearRecentSuspects(State &state, Pool &pool);

/// Removes a suspect that ends or changes phase, and opens its server to other requests.
void releaseIsolation(State &state, Request &request);

/// Returns a suspect that waits for this server to the queue of suspects, because the server takes
/// no new work.
void cancelIsolation(State &state, Server &server);

} // namespace snipestall::policy
