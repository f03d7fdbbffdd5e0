#pragma once

namespace snipestall::policy {

struct Request;
struct Server;
struct State;

/// Decides for each stream on a backend server under notice whether it finishes there, exports its
/// KV cache or resumes elsewhere.
void planMoves(State &state, Server &server);

/// Moves planned streams to targets that can take them now.
void moveStreams(State &state);

/// Removes the plan to move a request that leaves its server.
void cancelMove(Request &request);

/// Ends a request's import after its first token or its end, so that the target can import the next
/// stream.
void endImport(Request &request);

} // namespace snipestall::policy
