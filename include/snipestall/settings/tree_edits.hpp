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

/// Paths that differ, by path: values, and named things that came or went (as "{}").
std::vector<Difference> differences(const Tree &before, const Tree &after);

/// The fewest edits that make `before` equal to `after`.
std::vector<Edit> editsBetween(const Tree &before, const Tree &after);

/// Whether two sets of changed paths touch: one path equals, contains or is contained in another.
bool touch(std::span<const Difference> a, std::span<const Edit> b);

} // namespace snipestall::settings
