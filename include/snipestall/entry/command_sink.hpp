#pragma once

#include "snipestall/policy/command.hpp"

namespace snipestall::entry {

/// Executes the commands of the policy. Each call returns immediately; longer work runs in
/// coroutines.
class CommandSink
{
public:
    virtual ~CommandSink() = default;

    virtual void execute(const policy::Dispatch &command) = 0;
    virtual void execute(const policy::ForwardTo &command) = 0;
    virtual void execute(const policy::Refuse &command) = 0;
    virtual void execute(const policy::CancelAttempt &command) = 0;
    virtual void execute(const policy::MoveStream &command) = 0;
    virtual void execute(const policy::StartInstance &command) = 0;
    virtual void execute(const policy::ReleaseInstance &command) = 0;
};

} // namespace snipestall::entry
