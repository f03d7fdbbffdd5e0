#pragma once

#include <string>
#include <string_view>

namespace snipestall::load {

/// Kinds of broken guarantees that a run can find.
enum class ViolationKind {
    /// The complete answer to an accepted request could not be obtained.
    Lost,
    /// A token, answer or effect occurred more than once.
    Doubled,
    /// A caller received the answer, or a part of the answer, to another request.
    Mixed,
    /// An answer was marked as complete, but tokens were missing.
    Cut,
    /// The request was refused as not run, but was run.
    FalseNotRun,
    /// An error answer did not say whether the request was run.
    Unlabelled,
};

/// One broken guarantee that a run has found.
struct Violation
{
    ViolationKind kind = ViolationKind::Lost;
    std::string detail;
};

/// The name of a kind in the report.
constexpr std::string_view toString(ViolationKind kind)
{
    constexpr std::string_view Names[] { "lost", "doubled",       "mixed",
                                         "cut",  "false-not-run", "unlabelled" };
    return Names[static_cast<int>(kind)];
}

} // namespace snipestall::load
