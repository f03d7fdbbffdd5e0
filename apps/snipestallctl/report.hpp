#pragma once

#include "snipestall/settings/difference.hpp"
#include "snipestall/settings/fault.hpp"

#include "command.hpp"
#include "operators_client.hpp"
#include "printer.hpp"

#include <vector>

namespace snipestall::ctl {

/// Tells the operator what went wrong and how to go on.
ExitCode report(const Invocation &run, const Failure &failure);
/// Faults found without a server.
ExitCode reportFaults(const Invocation &run, const std::vector<settings::Fault> &faults);
ExitCode reportBadInput(const Invocation &run, const std::string &message);

TextTable tableOf(const std::vector<settings::Difference> &differences);
boost::json::array jsonOf(const std::vector<settings::Difference> &differences);

} // namespace snipestall::ctl
