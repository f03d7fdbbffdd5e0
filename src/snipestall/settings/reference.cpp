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

Generated from the schema by `snipestallctl reference settings`; a test checks that this page is up
to date. To read or change settings see [snipestallctl](snipestallctl.md).

One YAML document holds all settings. Values are inherited from the general level to the specific
one, and each level may override them:

    fleet -> data_centres/* -> customers/* -> customers/*/services/*      limits, latency, weight
    services/* -> data_centres/*/services/*                               what a service is
    classes/* -> data_centres/*/classes/*                                 prices and reclaims

Names are at most 64 lower-case letters, digits, `-`, `_` and `.`. Durations carry their unit: `ms`,
`s`, `min` or `h`. An unknown name, a value out of range and a reference to a name that doesn't
exist are faults, and a document with a fault is not applied at all. `snipestallctl get --effective`
shows for every value which level it comes from.

A customer's limits apply to all data centres together. Each data centre enforces its own share of
them, so the sum stays within the limit even while data centres can't reach each other. A limit that
counts requests is divided into whole requests: what is left after rounding down goes to the data
centres with the largest remainders, so a limit of 1 allows one request in one data centre and none
in the others.

The settings never contain keys, only their SHA-256 hashes.

Checks that involve several values:

- `share` of every data centre is given, and shares sum to at most 1, for each customer too
- services under customers and data centres, and data centres under `shares`, exist
- each model belongs to one service; a service of kind model has at least one, of kind plain none
- each key belongs to one customer or operator, and at least one operator has a key
- `min_servers` is at most `max_servers`, `latency/first_token` at most `latency/deadline`
)";

std::string codeSpan(std::string_view text)
{
    return text.empty() ? std::string() : "`" + std::string(text) + "`";
}

std::string tableRow(const SettingInfo &setting)
{
    const std::string_view name = setting.key.empty() ? "(the value itself)" : setting.key;
    std::string row = "| " + codeSpan(name) + " | " + allowedText(setting) + " | ";
    row.append(setting.unit).append(" | ").append(codeSpan(setting.defaultText)).append(" | ");
    return row.append(setting.description).append(" |\n");
}

std::string sectionText(const ScopeInfo &scope)
{
    std::string text = "\n## `" + std::string(scope.pattern) + "`\n\n";
    text.append(scope.description).append("\n");
    std::string rows;
    for (const SettingInfo &setting : schema()) {
        if (contains(setting.scopes, scope.scope))
            rows += tableRow(setting);
    }
    if (!rows.empty())
        text.append("\n| setting | allowed | unit | default | meaning |\n|---|---|---|---|---|\n")
            .append(rows);
    return text;
}

std::string explainSetting(const SettingInfo &setting)
{
    std::string text(setting.description);
    text.append("\n  allowed: ").append(allowedText(setting));
    if (!setting.unit.empty())
        text.append("\n  unit:    ").append(setting.unit);
    text.append("\n  default: ").append(setting.defaultText.empty() ? "none" : setting.defaultText);
    text.append("\n  may be set at:");
    for (const ScopeInfo &scope : scopes()) {
        if (contains(setting.scopes, scope.scope))
            text.append("\n    ").append(patternOf(setting, scope.scope));
    }
    return text + "\n";
}

/// The schema node of a path in which `*` stands for any name; null if there is none.
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
    for (const ScopeInfo &scope : scopes()) {
        all.emplace_back(scope.pattern);
        for (const SettingInfo &setting : schema()) {
            if (contains(setting.scopes, scope.scope))
                all.push_back(patternOf(setting, scope.scope));
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
    for (const ScopeInfo &scope : scopes()) {
        if (matches(std::string(scope.pattern), segments))
            text.append(scope.description).append("\n");
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
    const std::string suggestion = nearestName(path, patterns());
    std::string message = "no setting '" + std::string(path) + "'; ";
    message += suggestion.empty() ? "see docs/settings.md" : "did you mean " + suggestion + "?";
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
    for (const ScopeInfo &scope : scopes())
        page += sectionText(scope);
    return page;
}

} // namespace snipestall::settings
