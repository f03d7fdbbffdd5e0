#pragma once

#include "snipestall/settings/difference.hpp"
#include "snipestall/settings/edit.hpp"
#include "snipestall/settings/fault.hpp"
#include "snipestall/settings/tree.hpp"

#include <tl/expected.hpp>

#include <span>
#include <vector>

namespace snipestall::settings {

/// A tree with the edits made, checked as a whole; every fault in one go.
tl::expected<Tree, std::vector<Fault>> withEdits(const Tree &tree, std::span<const Edit> edits);

/// Leaf paths that differ, by path.
std::vector<Difference> differences(const Tree &before, const Tree &after);

/// Whether two sets of changed paths touch: one path equals, contains or is contained in another.
bool touch(std::span<const Difference> a, std::span<const Edit> b);

} // namespace snipestall::settings
