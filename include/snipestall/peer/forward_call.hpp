#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/peer/messages.hpp"
#include "snipestall/wire/task.hpp"

#include <optional>

namespace snipestall::peer {

/// The sender's side of a forwarded request. Destroying it before the last event cancels the call.
class ForwardCall
{
public:
    virtual ~ForwardCall() = default;

    /// The next event, or no value after the last one. OutcomeUnknown if the connection to the peer
    /// was lost.
    virtual wire::Task<Result<std::optional<v1::ForwardEvent>>> read() = 0;
    virtual void cancel() = 0;
};

} // namespace snipestall::peer
