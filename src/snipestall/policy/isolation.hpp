#pragma once

namespace snipestall::policy {

struct Pool;
struct Request;
struct Server;
struct State;

/// Runs requests suspected of crashing backend servers alone, each on a server that is emptied
/// for it, so that a second death takes no neighbour along and names its cause.

/// Puts a suspect in line for a server of its own.
void isolate(State &state, Request &request);

/// Empties servers for suspects and starts those whose server is empty.
void placeSuspects(State &state, Pool &pool);

/// Many servers died at once: what was suspected because of the first of them is queued again.
void absolveRecent(State &state, Pool &pool);

/// The suspect ends or leaves the line: its server is open to others again.
void releaseIsolation(State &state, Request &request);

/// The server takes no new work: a suspect that waits for it needs another one.
void abandonIsolation(State &state, Server &server);

} // namespace snipestall::policy
