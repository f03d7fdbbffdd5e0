#pragma once

#include "command.hpp"

namespace snipestall::ctl {

// Commands that read from a server without changing anything.
ExitCode runGet(const Invocation &invocation);
ExitCode runDiff(const Invocation &invocation);
ExitCode runHistory(const Invocation &invocation);
ExitCode runAudit(const Invocation &invocation);
ExitCode runStatus(const Invocation &invocation);

// Commands that change the settings or the state of an instance.
ExitCode runSet(const Invocation &invocation);
ExitCode runUnset(const Invocation &invocation);
ExitCode runApply(const Invocation &invocation);
ExitCode runRollback(const Invocation &invocation);
ExitCode runDrain(const Invocation &invocation);

// Commands that run without a server.
ExitCode runExplain(const Invocation &invocation);
ExitCode runCheck(const Invocation &invocation);
ExitCode runNewKey(const Invocation &invocation);
ExitCode runReference(const Invocation &invocation);
ExitCode runCompletion(const Invocation &invocation);

} // namespace snipestall::ctl
