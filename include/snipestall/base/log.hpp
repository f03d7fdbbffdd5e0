#pragma once

#include "snipestall/base/event_info.hpp"

#include <initializer_list>
#include <string>
#include <string_view>

namespace snipestall {

/// One named value of a log line. Never a prompt, an answer or a key.
struct LogField
{
    std::string_view name;
    std::string value;
};

enum class LogFormat {
    Text,
    Json,
};

/// Sets up the process's log: standard output, one event a line, written by a thread of its own.
/// Lines that a reader does not take in time are dropped and counted.
void initLog(LogFormat format, Severity least);

/// Writes what is queued; later events are not written. Waits for a stopped reader only a moment.
void finishLog();

/// Writes one numbered event.
///
///     logEvent(events::PeerUp, { { "peer", name } });
void logEvent(const EventInfo &event, std::initializer_list<LogField> fields);

} // namespace snipestall
