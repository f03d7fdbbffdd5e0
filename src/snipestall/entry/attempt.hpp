#pragma once

#include "snipestall/entry/backend.hpp"
#include "snipestall/entry/dispatcher.hpp"
#include "snipestall/entry/request.hpp"

#include <string>

namespace snipestall::entry {

/// One try to run a request, for as long as its coroutine runs.
struct Dispatcher::Attempt
{
    RequestPtr request;
    policy::AttemptHandle handle;
    std::string id;
    /// Empty name: it runs on a peer.
    Backend server;
    std::string kv;
    /// Cancelled by the policy or moved elsewhere: what still comes of it is dropped, and the
    /// policy is not told of its end.
    bool cancelled = false;
    bool over = false;
};

} // namespace snipestall::entry
