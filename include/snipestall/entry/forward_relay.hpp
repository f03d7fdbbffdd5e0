#pragma once

#include "snipestall/entry/request.hpp"
#include "snipestall/wire/task.hpp"

#include <memory>
#include <string>

namespace snipestall::peer {
class ForwardSink;
}

namespace snipestall::entry {

/// Sends what becomes of a request to the peer that asked: the home that forwarded it, or an
/// instance that a caller came back to. Ends with the request, or when `*stop` is set.
wire::Task<void> relayToPeer(RequestPtr request, std::string attempt,
                             std::shared_ptr<peer::ForwardSink> sink, std::shared_ptr<bool> stop,
                             bool onlyReleased);

} // namespace snipestall::entry
