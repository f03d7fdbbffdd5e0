#pragma once

namespace snipestall::policy {

struct Request;
struct Server;
struct State;

/// A server with a free slot that holds the longest cached part of the request's prompt, unless
/// the prefix is so hot that its holders carry more than their share. Null when there is none.
Server *cachedServer(State &state, const Request &request);

/// Some server here holds the beginning of the request's prompt.
bool isCachedHere(const Request &request);

/// Remembers that the request's prefix is in the server's cache from now on.
void rememberPrefix(const Request &request, const Server &server);

} // namespace snipestall::policy
