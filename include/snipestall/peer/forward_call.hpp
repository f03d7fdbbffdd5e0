#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/peer/messages.hpp"
#include "snipestall/wire/task.hpp"

#include <optional>

namespace snipestall::peer {

/// The sender's end of a forwarded request. Destroying it before its end cancels the call.
class ForwardCall
{
public:
    virtual ~ForwardCall() = default;

    /// Next event; nothing after the last; OutcomeUnknown if the peer was lost.
    virtual wire::Task<Result<std::optional<v1::ForwardEvent>>> read() = 0;
    virtual void cancel() = 0;
};

} // namespace snipestall::peer
