#include "snipestall/base/event_page.hpp"

#include "snipestall/base/event_catalogue.hpp"

#include <array>

namespace snipestall::events {
namespace {

constexpr std::string_view Introduction = R"(# Events

Generated from the event catalogue in the code by `snipestallctl reference events`; a test checks that this page is up to date.

Every log line is one of these events, with its number (`SN100`...), its name and its fields;
`log: {format: json}` in the local settings writes one JSON object per line. Numbers are never
reused. No line contains a prompt, a response or a key.
)";

constexpr std::array SeverityNames { "debug", "info", "warning", "error" };

struct Section
{
    int first;
    std::string_view title;
};

constexpr std::array Sections {
    Section { 100, "Process" },   Section { 200, "Settings" },
    Section { 300, "Platform" },  Section { 400, "Membership and peers" },
    Section { 500, "Requests" },  Section { 600, "Backend servers" },
    Section { 700, "Operators" }, Section { 800, "Stand-ins and tools" },
    Section { 900, "Gateway" },
};

constexpr int NumbersPerSection = 100;

std::string rowOf(const EventInfo &event)
{
    std::string row = "| " + std::to_string(event.number) + " | `";
    row.append(event.name).append("` | ");
    row.append(SeverityNames.at(static_cast<std::size_t>(event.severity))).append(" | ");
    return row.append(event.meaning).append(" | ").append(event.action).append(" |\n");
}

std::string tableOf(const Section &section)
{
    std::string rows;
    for (const EventInfo *event : all()) {
        if (event->number >= section.first && event->number < section.first + NumbersPerSection)
            rows += rowOf(*event);
    }
    if (rows.empty())
        return {};
    std::string table = "\n## ";
    table.append(section.title);
    table += "\n\n| number | name | severity | meaning | what to do |\n|---|---|---|---|---|\n";
    return table + rows;
}

} // namespace

std::string referencePage()
{
    std::string page(Introduction);
    for (const Section &section : Sections)
        page += tableOf(section);
    return page;
}

} // namespace snipestall::events
