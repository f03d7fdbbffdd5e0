#include "snipestall/wire/event_stream_parser.hpp"

#include <utility>

namespace snipestall::wire {

std::vector<StreamEvent> EventStreamParser::feed(std::string_view bytes)
{
    std::vector<StreamEvent> events;
    for (const char c : bytes) {
        if (c == '\n') {
            parseLine(m_line, events);
            m_line.clear();
        } else if (c != '\r') {
            m_line.push_back(c);
        }
    }
    return events;
}

void EventStreamParser::parseLine(std::string_view line, std::vector<StreamEvent> &events)
{
    if (line.empty()) {
        if (m_hasData)
            events.push_back(std::move(m_event));
        m_event = {};
        m_hasData = false;
        return;
    }
    const std::size_t colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (field == "id")
        m_event.id = value;
    if (field == "event")
        m_event.event = value;
    if (field == "data") {
        if (m_hasData)
            m_event.data.push_back('\n');
        m_event.data += value;
        m_hasData = true;
    }
}

} // namespace snipestall::wire
