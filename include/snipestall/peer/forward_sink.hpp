#pragma once

#include "snipestall/peer/messages.hpp"
#include <functional>

namespace snipestall::peer {

/// The owner's side of a forwarded request: sends events back to the sender in order. Must be used
/// on the event loop's thread only.
class ForwardSink
{
public:
    virtual ~ForwardSink() = default;

    virtual void write(const v1::ForwardEvent &event) = 0;
    /// Ends the stream after the events written so far, which are still delivered.
    virtual void finish() = 0;
    /// Sets a callback that runs once if the sender cancels the call or its connection is lost.
    virtual void onCancelled(std::function<void()> callback) = 0;
};

} // namespace snipestall::peer
