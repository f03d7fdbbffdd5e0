#include "snipestall/wire/event_splitter.hpp"

#include <charconv>
#include <utility>

namespace snipestall::wire {

namespace {

/// Returns the line at `from` without its line break and advances `from` past it. Returns nothing
/// if the line is incomplete.
std::optional<std::string_view> nextLine(std::string_view text, std::size_t &from)
{
    const std::size_t end = text.find('\n', from);
    if (end == std::string_view::npos)
        return std::nullopt;
    std::string_view line = text.substr(from, end - from);
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    from = end + 1;
    return line;
}

/// Value of an "id" field; nothing if the line is another field or the id is not a number.
std::optional<std::uint64_t> idOf(std::string_view line)
{
    constexpr std::string_view Field = "id:";
    if (!line.starts_with(Field))
        return std::nullopt;
    line.remove_prefix(Field.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    std::uint64_t id = 0;
    const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), id);
    if (error != std::errc() || end != line.data() + line.size())
        return std::nullopt;
    return id;
}

} // namespace

std::vector<RawEvent> EventSplitter::feed(std::string_view bytes)
{
    m_rest.append(bytes);
    std::vector<RawEvent> events;
    std::size_t eventStart = 0;
    std::size_t at = 0;
    std::optional<std::uint64_t> id;
    while (const auto line = nextLine(m_rest, at)) {
        if (!line->empty()) {
            if (const auto found = idOf(*line))
                id = found;
            continue;
        }
        events.push_back({ m_rest.substr(eventStart, at - eventStart), id });
        eventStart = at;
        id.reset();
    }
    m_rest.erase(0, eventStart);
    return events;
}

} // namespace snipestall::wire
