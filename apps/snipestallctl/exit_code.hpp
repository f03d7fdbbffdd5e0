#pragma once

namespace snipestall::ctl {

/// What a script may conclude; documented in docs/snipestallctl.md.
enum class ExitCode {
    Ok = 0,
    /// The server understood and refused: a conflict, a wrong key. Nothing was applied.
    Refused = 1,
    /// The command line, the file or the value is wrong. Nothing was applied.
    BadInput = 2,
    /// No server answered or none can reach the platform's table. Nothing was applied.
    Unreachable = 3,
    /// The change may be in; the message says how to find out.
    OutcomeUnknown = 4,
    /// The change is accepted, but with --wait it was not seen in force everywhere in time.
    NotInForce = 5,
};

} // namespace snipestall::ctl
