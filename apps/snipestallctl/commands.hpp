#pragma once

#include "command.hpp"

namespace snipestall::ctl {

// Commands that only read from a server.
ExitCode runGet(const Invocation &run);
ExitCode runDiff(const Invocation &run);
ExitCode runHistory(const Invocation &run);
ExitCode runAudit(const Invocation &run);
ExitCode runStatus(const Invocation &run);

// Commands that change something.
ExitCode runSet(const Invocation &run);
ExitCode runUnset(const Invocation &run);
ExitCode runApply(const Invocation &run);
ExitCode runRollback(const Invocation &run);
ExitCode runDrain(const Invocation &run);

// Commands that need no server.
ExitCode runExplain(const Invocation &run);
ExitCode runCheck(const Invocation &run);
ExitCode runNewKey(const Invocation &run);
ExitCode runReference(const Invocation &run);
ExitCode runCompletion(const Invocation &run);

} // namespace snipestall::ctl
