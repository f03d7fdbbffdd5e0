#pragma once

#include "snipestall/policy/command.hpp"

namespace snipestall::policy::harness {

class EntryNode;

/// Carries out what a decision maker decided.
class CommandSink
{
public:
    virtual ~CommandSink() = default;

    virtual void execute(EntryNode &node, const Command &command) = 0;
};

} // namespace snipestall::policy::harness
