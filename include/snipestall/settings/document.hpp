#pragma once

#include "snipestall/settings/value.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::settings {

/// A parsed settings document: every value that is written in it, by path, and the path of every
/// entity (customer, data centre, service...), with or without values of its own.
struct Document
{
    std::map<std::string, Value, std::less<>> values;
    std::set<std::string, std::less<>> entities;

    /// The value at a path; null if the document sets none.
    [[nodiscard]] const Value *find(std::string_view path) const;
    /// Whether the document contains an entity with this path.
    [[nodiscard]] bool has(std::string_view entity) const;
    /// Names of the entities directly under a section, such as "customers", in byte order.
    [[nodiscard]] std::vector<std::string> names(std::string_view section) const;
};

} // namespace snipestall::settings
