#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace snipestall::wire {

/// One decoded event of a text/event-stream body.
struct StreamEvent
{
    std::string id;
    std::string event;
    std::string data;
};

/// Parses a text/event-stream body into events. The result doesn't depend on how the body is split
/// into chunks.
///
///     for (const StreamEvent &event : parser.feed(bytes)) ...
class EventStreamParser
{
public:
    /// Adds bytes of the body and returns the events that they complete.
    std::vector<StreamEvent> feed(std::string_view bytes);

private:
    void parseLine(std::string_view line, std::vector<StreamEvent> &events);

    std::string m_line;
    StreamEvent m_event;
    bool m_hasData = false;
};

} // namespace snipestall::wire
