#pragma once

namespace snipestall::ctl {

/// The program's exit codes, for scripts; documented in docs/snipestallctl.md.
enum class ExitCode {
    Ok = 0,
    /// The server refused the request, such as for a conflict or a wrong key. Nothing was applied.
    Refused = 1,
    /// The command line, the file or the value is wrong. Nothing was applied.
    BadInput = 2,
    /// No server answered, or none can reach the platform's table. Nothing was applied.
    Unreachable = 3,
    /// The change may have been applied; the error message says how to find out.
    OutcomeUnknown = 4,
    /// The change is accepted, but --wait timed out before every server had it in force.
    NotInForce = 5,
};

} // namespace snipestall::ctl
