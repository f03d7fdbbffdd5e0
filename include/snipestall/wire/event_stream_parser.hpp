#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace snipestall::wire {

/// One event of a text/event-stream body.
struct StreamEvent
{
    std::string id;
    std::string event;
    std::string data;
};

/// Cuts a text/event-stream body into events, whatever the borders of its chunks.
///
///     for (const StreamEvent &event : parser.feed(bytes)) ...
class EventStreamParser
{
public:
    std::vector<StreamEvent> feed(std::string_view bytes);

private:
    void takeLine(std::string_view line, std::vector<StreamEvent> &events);

    std::string m_line;
    StreamEvent m_event;
    bool m_hasData = false;
};

} // namespace snipestall::wire
