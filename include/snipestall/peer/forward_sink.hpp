#pragma once

#include "snipestall/peer/messages.hpp"
#include <functional>

namespace snipestall::peer {

/// The owner's end of a forwarded request: events go back to the sender in order. Used on the
/// loop's thread only.
class ForwardSink
{
public:
    virtual ~ForwardSink() = default;

    virtual void write(const v1::ForwardEvent &event) = 0;
    /// No more events; those written before still arrive.
    virtual void finish() = 0;
    /// Runs once if the sender hangs up or is lost.
    virtual void onCancelled(std::function<void()> callback) = 0;
};

} // namespace snipestall::peer
