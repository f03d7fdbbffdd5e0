#pragma once

#include <string>
#include <string_view>

namespace snipestall::load {

/// Promises that a run can find broken.
enum class ViolationKind {
    /// An accepted request whose whole answer could not be had.
    Lost,
    /// A token, answer or effect that came twice.
    Doubled,
    /// Somebody else's answer.
    Mixed,
    /// An answer that was called whole but had gaps or an early end.
    Cut,
    /// Refused as not run, but run.
    FalseNotRun,
    /// An error without a word on whether it was run.
    Unlabelled,
};

struct Violation
{
    ViolationKind kind = ViolationKind::Lost;
    std::string detail;
};

constexpr std::string_view toString(ViolationKind kind)
{
    constexpr std::string_view Names[] { "lost", "doubled",       "mixed",
                                         "cut",  "false-not-run", "unlabelled" };
    return Names[static_cast<int>(kind)];
}

} // namespace snipestall::load
