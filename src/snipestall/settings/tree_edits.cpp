#include "snipestall/settings/tree_edits.hpp"

#include "snipestall/settings/document.hpp"

#include "document_reader.hpp"
#include "path.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string>

namespace snipestall::settings {
namespace {

bool isValidPath(const std::vector<std::string> &segments)
{
    const auto isEmpty = [](const std::string &segment) { return segment.empty(); };
    return !segments.empty() && std::none_of(segments.begin(), segments.end(), isEmpty);
}

/// Erases the entries at or under a path and returns their number.
template<typename Entries, typename PathOf>
std::size_t eraseUnder(Entries &entries, const std::string &path, PathOf pathOf)
{
    std::size_t erased = 0;
    for (auto it = entries.lower_bound(path); it != entries.end();) {
        if (!pathOf(*it).starts_with(path))
            break;
        const bool isUnder = pathsOverlap(pathOf(*it), path);
        it = isUnder ? entries.erase(it) : std::next(it);
        erased += isUnder ? 1 : 0;
    }
    return erased;
}

std::size_t removeUnder(Document &document, const std::string &path)
{
    const auto entityPath = [](const std::string &entity) -> const std::string & { return entity; };
    const auto valuePath = [](const auto &entry) -> const std::string & { return entry.first; };
    return eraseUnder(document.entities, path, entityPath)
        + eraseUnder(document.values, path, valuePath);
}

std::vector<Fault> apply(Document &document, const Edit &edit)
{
    if (!isValidPath(splitPath(edit.path)))
        return { { edit.path, "an empty name", "a path such as customers/NAME/weight" } };
    const std::size_t removed = removeUnder(document, edit.path);
    if (edit.value)
        return readInto(document, edit.path, *edit.value);
    if (removed == 0)
        return { { edit.path, "nothing to remove", "a path that is set" } };
    return {};
}

/// Texts of a document's values by path, with an entry "{}" for every entity. The entity needs an
/// entry of its own so that its removal is a difference whose path contains the paths of its
/// values, which changesOverlap() detects: an operator who edits a value of a customer that another
/// operator has just removed must get a conflict, otherwise the edit would recreate the customer
/// with that one value.
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
    Document document = tree.document();
    std::vector<Fault> faults;
    for (const Edit &edit : edits) {
        const std::vector<Fault> found = apply(document, edit);
        faults.insert(faults.end(), found.begin(), found.end());
    }
    auto edited = Tree::check(std::move(document));
    if (faults.empty())
        return edited;
    if (!edited)
        faults.insert(faults.end(), edited.error().begin(), edited.error().end());
    return tl::unexpected(std::move(faults));
}

std::vector<Difference> differences(const Tree &before, const Tree &after)
{
    const auto oldTexts = textByPath(before.document());
    const auto newTexts = textByPath(after.document());
    std::set<std::string> paths;
    for (const auto &entry : oldTexts)
        paths.insert(entry.first);
    for (const auto &entry : newTexts)
        paths.insert(entry.first);
    std::vector<Difference> found;
    for (const std::string &path : paths) {
        Difference difference { path, textAt(oldTexts, path), textAt(newTexts, path) };
        if (difference.before != difference.after)
            found.push_back(std::move(difference));
    }
    return found;
}

// Removing an entity removes everything under it, so edits under it would find nothing to remove
// and fail. Paths are in order, so an added entity exists before its values are set.
std::vector<Edit> editsBetween(const Tree &before, const Tree &after)
{
    std::vector<Edit> edits;
    for (const Difference &difference : differences(before, after)) {
        const bool isUnderRemoved = std::any_of(edits.begin(), edits.end(), [&](const Edit &edit) {
            return !edit.value && pathsOverlap(edit.path, difference.path);
        });
        if (!isUnderRemoved)
            edits.push_back({ difference.path, difference.after });
    }
    return edits;
}

bool changesOverlap(std::span<const Difference> a, std::span<const Edit> b)
{
    return std::any_of(a.begin(), a.end(), [&](const Difference &theirs) {
        return std::any_of(b.begin(), b.end(),
                           [&](const Edit &ours) { return pathsOverlap(theirs.path, ours.path); });
    });
}

} // namespace snipestall::settings
