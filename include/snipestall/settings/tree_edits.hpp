#pragma once

#include "snipestall/settings/difference.hpp"
#include "snipestall/settings/edit.hpp"
#include "snipestall/settings/fault.hpp"
#include "snipestall/settings/tree.hpp"

#include <tl/expected.hpp>

#include <span>
#include <vector>

namespace snipestall::settings {

/// Applies the edits in order and validates the result as a whole. Reports all faults at once.
tl::expected<Tree, std::vector<Fault>> withEdits(const Tree &tree, std::span<const Edit> edits);

/// Differences between two trees, in order of their paths: changed values, and entities that were
/// added or removed (with the text "{}").
std::vector<Difference> differences(const Tree &before, const Tree &after);

/// The smallest list of edits that turns `before` into `after`.
std::vector<Edit> editsBetween(const Tree &before, const Tree &after);

/// Whether two sets of changed paths overlap: a path of one equals, contains or is contained in a
/// path of the other.
bool changesOverlap(std::span<const Difference> a, std::span<const Edit> b);

} // namespace snipestall::settings
