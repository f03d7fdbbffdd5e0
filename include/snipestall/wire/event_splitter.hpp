#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::wire {

/// One whole event of a text/event-stream body, byte for byte.
struct RawEvent
{
    std::string text;
    std::optional<std::uint64_t> id;
};

/// Cuts a text/event-stream body into whole events without changing a byte. What a broken stream
/// leaves of its last event stays inside, so that it never reaches a reader.
class EventSplitter
{
public:
    std::vector<RawEvent> feed(std::string_view bytes);
    /// Bytes of an event that is not complete yet.
    [[nodiscard]] const std::string &rest() const { return m_rest; }

private:
    std::string m_rest;
};

} // namespace snipestall::wire
