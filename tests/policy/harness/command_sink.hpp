#pragma once

#include "snipestall/policy/command.hpp"

namespace snipestall::policy::harness {

class EntryNode;

/// Executes the commands of a decision maker.
class CommandSink
{
public:
    virtual ~CommandSink() = default;

    virtual void execute(EntryNode &node, const Command &command) = 0;
};

} // namespace snipestall::policy::harness
