#pragma once

#include "snipestall/settings/difference.hpp"
#include "snipestall/settings/fault.hpp"

#include "command.hpp"
#include "operators_client.hpp"
#include "printer.hpp"

#include <vector>

namespace snipestall::ctl {

/// Prints the failure and what the operator can do about it, and returns its exit code.
ExitCode report(const Invocation &invocation, const Failure &failure);
/// Prints the faults of a settings file that were found without a server; returns BadInput.
ExitCode reportFaults(const Invocation &invocation, const std::vector<settings::Fault> &faults);
ExitCode reportBadInput(const Invocation &invocation, const std::string &message);

TextTable tableOf(const std::vector<settings::Difference> &differences);
boost::json::array jsonOf(const std::vector<settings::Difference> &differences);

} // namespace snipestall::ctl
