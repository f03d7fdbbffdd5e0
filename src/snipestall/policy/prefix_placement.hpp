#pragma once

namespace snipestall::policy {

struct Request;
struct Server;
struct State;

/// A server with a free slot that holds the longest cached part of the request's prompt, unless the
/// prefix is so popular that its holders carry more than their share. Null when there is none.
Server *cachedServer(State &state, const Request &request);

/// Whether some server here holds the beginning of the request's prompt.
bool isCachedHere(const Request &request);

/// Records that the server's cache holds the request's prefix from now on.
void rememberPrefix(const Request &request, const Server &server);

} // namespace snipestall::policy
