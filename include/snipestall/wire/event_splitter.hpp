#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::wire {

/// One complete event of a text/event-stream body, with its unchanged bytes.
struct RawEvent
{
    std::string text;
    /// Value of the last "id" field that is a number, if any.
    std::optional<std::uint64_t> id;
};

/// Splits a text/event-stream body into complete events without changing a byte. If a stream breaks
/// off, the incomplete last event is held back, so that it never reaches a reader.
class EventSplitter
{
public:
    /// Adds bytes of the body and returns the events that they complete.
    std::vector<RawEvent> feed(std::string_view bytes);
    /// Bytes of the event that is not complete yet.
    [[nodiscard]] const std::string &incompleteEvent() const { return m_rest; }

private:
    std::string m_rest;
};

} // namespace snipestall::wire
