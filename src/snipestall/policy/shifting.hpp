#pragma once

namespace snipestall::policy {

struct Request;
struct Server;
struct State;

/// Decides for each stream on a backend server under notice: finish there, export its KV cache,
/// or resume elsewhere.
void planMoves(State &state, Server &server);

/// Moves planned streams to targets that can take them now.
void moveStreams(State &state);

/// The request leaves its server: it needs no move any more.
void forgetMove(Request &request);

/// Its first token came, or it ended: the target can import the next one.
void endImport(Request &request);

} // namespace snipestall::policy
