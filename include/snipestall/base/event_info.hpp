#pragma once

#include <string_view>

namespace snipestall {

/// Severity of a log event, in ascending order.
enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
};

/// Description of one numbered log event. docs/events.md is generated from these descriptions.
struct EventInfo
{
    int number = 0;
    Severity severity = Severity::Info;
    std::string_view name;
    std::string_view meaning;
    /// What an operator should do about the event; never empty.
    std::string_view action;
};

} // namespace snipestall
