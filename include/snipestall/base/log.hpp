#pragma once

#include "snipestall/base/event_info.hpp"

#include <initializer_list>
#include <string>
#include <string_view>

namespace snipestall {

/// One named value of a log line. It must not contain a prompt, a response or a key.
struct LogField
{
    std::string_view name;
    std::string value;
};

/// Format of the log lines.
enum class LogFormat {
    Text,
    Json,
};

/// Initializes the log of the process, which a separate thread writes to standard output with one
/// event per line. Events below `minimum` are not logged. If the reader of the output is too slow,
/// lines are dropped and counted.
void initLog(LogFormat format, Severity minimum);

/// Writes the queued lines, but waits only briefly for a reader that has stopped. Later events are
/// not written.
void finishLog();

/// Writes one numbered event.
///
///     logEvent(events::PeerUp, { { "peer", name } });
void logEvent(const EventInfo &event, std::initializer_list<LogField> fields);

} // namespace snipestall
