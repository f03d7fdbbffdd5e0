#pragma once

#include <string_view>

namespace snipestall {

enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
};

/// One numbered event of the log. The catalogue in docs/events.md is generated from the table.
struct EventInfo
{
    int number = 0;
    Severity severity = Severity::Info;
    std::string_view name;
    std::string_view meaning;
    /// What an operator should do; never empty.
    std::string_view action;
};

} // namespace snipestall
