#pragma once

#include "snipestall/settings/value.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::settings {

/// A settings document taken apart: every value that is written in it, by path, and every named
/// thing (customer, data centre, service...), with or without values of its own.
struct Document
{
    std::map<std::string, Value, std::less<>> values;
    std::set<std::string, std::less<>> entities;

    /// Null where the document says nothing.
    [[nodiscard]] const Value *find(std::string_view path) const;
    [[nodiscard]] bool has(std::string_view entity) const;
    /// Names of the things right under a section, such as "customers", in order.
    [[nodiscard]] std::vector<std::string> names(std::string_view section) const;
};

} // namespace snipestall::settings
