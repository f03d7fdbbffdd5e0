#pragma once

#include "snipestall/entry/request.hpp"
#include "snipestall/wire/task.hpp"

#include <memory>
#include <string>

namespace snipestall::peer {
class ForwardSink;
}

namespace snipestall::entry {

/// Streams the progress and the result of a request to a peer: to the home that forwarded the
/// request, or to an instance to which a caller reconnected. Returns when the request ends or
/// `*stop` is set; whoever sets it must also notify `request->changed()`. With `onlyReleased`,
/// sends only output that callers may see.
wire::Task<void> relayToPeer(RequestPtr request, std::string attempt,
                             std::shared_ptr<peer::ForwardSink> sink, std::shared_ptr<bool> stop,
                             bool onlyReleased);

} // namespace snipestall::entry
