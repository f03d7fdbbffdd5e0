#include "snipestall/base/event_page.hpp"

#include "snipestall/base/event_catalogue.hpp"

#include <array>

namespace snipestall::events {
namespace {

constexpr std::string_view Introduction = R"(# Events

Generated from the catalogue in code by `snipestallctl reference events`; a test holds this page to it.

Every line of the log is one of these events, with its number (`SN100`...), its name and its fields;
`log: {format: json}` in the local settings gives one JSON object a line. Numbers are never used
twice. No line holds a prompt, an answer or a key.
)";

constexpr std::array SeverityNames { "debug", "info", "warning", "error" };

struct Block
{
    int first;
    std::string_view title;
};

constexpr std::array Blocks {
    Block { 100, "Process" },   Block { 200, "Settings" },
    Block { 300, "Platform" },  Block { 400, "Membership and peers" },
    Block { 500, "Requests" },  Block { 600, "Backend servers" },
    Block { 700, "Operators" }, Block { 800, "Stand-ins and tools" },
    Block { 900, "Gateway" },
};

constexpr int BlockSize = 100;

std::string rowOf(const EventInfo &event)
{
    std::string row = "| " + std::to_string(event.number) + " | `";
    row.append(event.name).append("` | ");
    row.append(SeverityNames.at(static_cast<std::size_t>(event.severity))).append(" | ");
    return row.append(event.meaning).append(" | ").append(event.action).append(" |\n");
}

std::string tableOf(const Block &block)
{
    std::string rows;
    for (const EventInfo *event : all()) {
        if (event->number >= block.first && event->number < block.first + BlockSize)
            rows += rowOf(*event);
    }
    if (rows.empty())
        return {};
    std::string table = "\n## ";
    table.append(block.title);
    table += "\n\n| number | name | severity | meaning | what to do |\n|---|---|---|---|---|\n";
    return table + rows;
}

} // namespace

std::string referencePage()
{
    std::string page(Introduction);
    for (const Block &block : Blocks)
        page += tableOf(block);
    return page;
}

} // namespace snipestall::events
