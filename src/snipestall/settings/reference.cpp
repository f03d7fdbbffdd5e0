#include "snipestall/settings/reference.hpp"

#include "snipestall/settings/schema.hpp"

#include "path.hpp"
#include "schema_node.hpp"
#include "suggestion.hpp"
#include "value_reader.hpp"

#include <algorithm>
#include <vector>

namespace snipestall::settings {
namespace {

constexpr std::string_view Introduction = R"(# Settings

Generated from the schema by `snipestallctl reference`; a test holds this page to it. To read or
change settings see [snipestallctl](snipestallctl.md).

One YAML document holds everything that operators decide. Values are inherited from the general
level to the special one, and each level may override:

    fleet -> data_centres/* -> customers/* -> customers/*/services/*      limits, latency, weight
    services/* -> data_centres/*/services/*                               what a service is
    classes/* -> data_centres/*/classes/*                                 prices and reclaims

Names are lower-case letters, digits, `-`, `_` and `.`, at most 64. Durations carry their unit: `ms`,
`s`, `min` or `h`. An unknown name, a value out of range, a reference to nothing: each is a fault,
and a document with a fault is not applied at all. `snipestallctl get --effective` says for every
value which level it comes from.

A customer's limits hold over all data centres together. Each data centre may use its share of them
by itself, so the sum stays within the limit while data centres are cut off from each other. A limit
that counts requests is divided into whole requests: the largest remainders get what is left over, so
a limit of 1 allows one request in one data centre and none in the others.

Keys never stand in the settings, only their SHA-256 hashes.

What is checked between values:

- `share` of every data centre is given, and shares sum to at most 1, for each customer too
- services under customers and data centres, and data centres under `shares`, exist
- each model belongs to one service; a service of kind model has at least one, of kind plain none
- each key belongs to one customer or operator, and at least one operator has a key
- `min_servers` is at most `max_servers`, `latency/first_token` at most `latency/deadline`
)";

std::string code(std::string_view text)
{
    return text.empty() ? std::string() : "`" + std::string(text) + "`";
}

std::string tableRow(const SettingInfo &setting)
{
    const std::string_view name = setting.key.empty() ? "(the value itself)" : setting.key;
    std::string row = "| " + code(name) + " | " + allowedText(setting) + " | ";
    row.append(setting.unit).append(" | ").append(code(setting.byDefault)).append(" | ");
    return row.append(setting.meaning).append(" |\n");
}

std::string sectionOf(const PlaceInfo &place)
{
    std::string text = "\n## `" + std::string(place.pattern) + "`\n\n";
    text.append(place.meaning).append("\n");
    std::string rows;
    for (const SettingInfo &setting : schema()) {
        if (contains(setting.places, place.place))
            rows += tableRow(setting);
    }
    if (!rows.empty())
        text.append("\n| setting | allowed | unit | default | meaning |\n|---|---|---|---|---|\n")
            .append(rows);
    return text;
}

std::string explainSetting(const SettingInfo &setting)
{
    std::string text(setting.meaning);
    text.append("\n  allowed: ").append(allowedText(setting));
    if (!setting.unit.empty())
        text.append("\n  unit:    ").append(setting.unit);
    text.append("\n  default: ").append(setting.byDefault.empty() ? "none" : setting.byDefault);
    text.append("\n  may stand at:");
    for (const PlaceInfo &place : places()) {
        if (contains(setting.places, place.place))
            text.append("\n    ").append(patternOf(setting, place.place));
    }
    return text + "\n";
}

/// The node of a path in which `*` stands for any name.
const SchemaNode *nodeAt(const std::vector<std::string> &segments)
{
    const SchemaNode *node = &schemaRoot();
    for (const std::string &segment : segments) {
        node = segment == "*" ? node->anyName.get() : node->child(segment);
        if (!node)
            return nullptr;
    }
    return node;
}

std::vector<std::string> patterns()
{
    std::vector<std::string> all;
    for (const PlaceInfo &place : places()) {
        all.emplace_back(place.pattern);
        for (const SettingInfo &setting : schema()) {
            if (contains(setting.places, place.place))
                all.push_back(patternOf(setting, place.place));
        }
    }
    return all;
}

bool matches(const std::string &pattern, const std::vector<std::string> &segments)
{
    const std::vector<std::string> wanted = splitPath(pattern);
    return std::equal(
        wanted.begin(), wanted.end(), segments.begin(), segments.end(),
        [](const std::string &a, const std::string &b) { return a == "*" || a == b; });
}

std::string explainSection(const SchemaNode &node, const std::vector<std::string> &segments)
{
    std::string text;
    for (const PlaceInfo &place : places()) {
        if (matches(std::string(place.pattern), segments))
            text.append(place.meaning).append("\n");
    }
    text.append("  holds:\n");
    for (const auto &child : node.children)
        text.append("    ").append(child.first).append("\n");
    if (node.anyName)
        text.append("    any name that you choose\n");
    return text;
}

tl::unexpected<Error> unknownPath(std::string_view path)
{
    const std::string meant = nearest(path, patterns());
    std::string message = "no setting '" + std::string(path) + "'; ";
    message += meant.empty() ? "see docs/settings.md" : "did you mean " + meant + "?";
    return fail(ErrorKind::NotFound, std::move(message));
}

} // namespace

Result<std::string> explainPath(std::string_view path)
{
    const std::vector<std::string> segments = splitPath(path);
    if (const SchemaNode *node = nodeAt(segments))
        return node->setting ? explainSetting(*node->setting) : explainSection(*node, segments);
    std::string text;
    for (const SettingInfo &setting : schema()) {
        if (setting.key == path)
            text += explainSetting(setting);
    }
    if (text.empty())
        return unknownPath(path);
    return text;
}

std::string referencePage()
{
    std::string page(Introduction);
    for (const PlaceInfo &place : places())
        page += sectionOf(place);
    return page;
}

} // namespace snipestall::settings
