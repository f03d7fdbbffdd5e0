#pragma once

#include "snipestall/entry/backend.hpp"
#include "snipestall/entry/dispatcher.hpp"
#include "snipestall/entry/request.hpp"

#include <string>

namespace snipestall::entry {

/// One attempt to run a request. It lives as long as its coroutine.
struct Dispatcher::Attempt
{
    RequestPtr request;
    policy::AttemptHandle handle;
    std::string id;
    /// The server that runs the attempt; its name is empty if the attempt runs on a peer.
    Backend server;
    /// Reference to an exported KV cache to continue from; may be empty.
    std::string kv;
    /// The attempt was cancelled by the policy or moved elsewhere: further output is dropped, and
    /// its end is not reported to the policy.
    bool cancelled = false;
    /// The end of the attempt has been handled.
    bool endHandled = false;
};

} // namespace snipestall::entry
