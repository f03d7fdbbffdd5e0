#include "snipestall/settings/tree_edits.hpp"

#include "snipestall/settings/document.hpp"

#include "path.hpp"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <set>
#include <string>

namespace snipestall::settings {
namespace {

constexpr std::string_view PathForm = "a path such as customers/NAME/weight";

bool isPath(const std::vector<std::string> &segments)
{
    const auto isEmpty = [](const std::string &segment) { return segment.empty(); };
    return !segments.empty() && std::none_of(segments.begin(), segments.end(), isEmpty);
}

std::optional<Fault> remove(const YAML::Node &root, const Edit &edit,
                            const std::vector<std::string> &segments)
{
    YAML::Node node = root;
    for (std::size_t i = 0; i + 1 < segments.size(); ++i) {
        if (!node.IsMap() || !node[segments[i]])
            return Fault { edit.path, "nothing to take away", "a path that is set" };
        node.reset(node[segments[i]]);
    }
    if (!node.IsMap() || !node[segments.back()])
        return Fault { edit.path, "nothing to take away", "a path that is set" };
    node.remove(segments.back());
    return std::nullopt;
}

std::optional<Fault> set(const YAML::Node &root, const Edit &edit,
                         const std::vector<std::string> &segments)
{
    YAML::Node node = root;
    for (std::size_t i = 0; i + 1 < segments.size(); ++i) {
        if (!node.IsMap() && !node.IsNull())
            break;
        YAML::Node child = node[segments[i]];
        node.reset(child);
    }
    if (!node.IsMap() && !node.IsNull() && node.IsDefined())
        return Fault { edit.path, "a value on the way to it", std::string(PathForm) };
    try {
        node[segments.back()] = YAML::Load(*edit.value);
    } catch (const YAML::Exception &error) {
        return Fault { edit.path, "unreadable YAML: " + error.msg, "YAML text of the new value" };
    }
    return std::nullopt;
}

std::optional<Fault> apply(const YAML::Node &root, const Edit &edit)
{
    const std::vector<std::string> segments = splitPath(edit.path);
    if (!isPath(segments))
        return Fault { edit.path, "an empty name", std::string(PathForm) };
    return edit.value ? set(root, edit, segments) : remove(root, edit, segments);
}

/// Paths of a tree as text. Every named thing has a row of its own: an operator who edits a value
/// of a customer that another has just removed must meet a conflict, not bring back a customer with
/// that one value; the removal's row contains the edit's path, which is what `touch` looks for.
std::map<std::string, std::string> textByPath(const Document &document)
{
    std::map<std::string, std::string> texts;
    for (const std::string &entity : document.entities)
        texts.emplace(entity, "{}");
    for (const auto &[path, value] : document.values)
        texts.emplace(path, toText(value));
    return texts;
}

std::optional<std::string> textAt(const std::map<std::string, std::string> &texts,
                                  const std::string &path)
{
    const auto it = texts.find(path);
    return it == texts.end() ? std::nullopt : std::optional(it->second);
}

} // namespace

tl::expected<Tree, std::vector<Fault>> withEdits(const Tree &tree, std::span<const Edit> edits)
{
    const YAML::Node root = YAML::Load(tree.toYaml());
    std::vector<Fault> faults;
    for (const Edit &edit : edits) {
        if (auto fault = apply(root, edit))
            faults.push_back(std::move(*fault));
    }
    auto edited = Tree::parse(YAML::Dump(root));
    if (faults.empty())
        return edited;
    if (!edited)
        faults.insert(faults.end(), edited.error().begin(), edited.error().end());
    return tl::unexpected(std::move(faults));
}

std::vector<Difference> differences(const Tree &before, const Tree &after)
{
    const auto old = textByPath(before.document());
    const auto fresh = textByPath(after.document());
    std::set<std::string> paths;
    for (const auto &entry : old)
        paths.insert(entry.first);
    for (const auto &entry : fresh)
        paths.insert(entry.first);
    std::vector<Difference> found;
    for (const std::string &path : paths) {
        Difference difference { path, textAt(old, path), textAt(fresh, path) };
        if (difference.before != difference.after)
            found.push_back(std::move(difference));
    }
    return found;
}

// A thing that went takes everything under it along, so edits below it would find nothing to take
// away. Paths come in order, so a thing that came is there before its values are set.
std::vector<Edit> editsBetween(const Tree &before, const Tree &after)
{
    std::vector<Edit> edits;
    for (const Difference &difference : differences(before, after)) {
        const bool isUnderRemoved = std::any_of(edits.begin(), edits.end(), [&](const Edit &edit) {
            return !edit.value && pathsTouch(edit.path, difference.path);
        });
        if (!isUnderRemoved)
            edits.push_back({ difference.path, difference.after });
    }
    return edits;
}

bool touch(std::span<const Difference> a, std::span<const Edit> b)
{
    return std::any_of(a.begin(), a.end(), [&](const Difference &theirs) {
        return std::any_of(b.begin(), b.end(),
                           [&](const Edit &ours) { return pathsTouch(theirs.path, ours.path); });
    });
}

} // namespace snipestall::settings
