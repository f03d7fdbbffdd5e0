#pragma once

#include "snipestall/settings/document.hpp"
#include "snipestall/settings/scope.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipestall::settings {

/// The values of one section of a document, indexed for repeated lookups. Must not outlive the
/// document, to which it refers.
class SectionValues
{
public:
    SectionValues(const Document &document, Scope scope, std::string path);

    /// The value of a key; null if the section does not set it.
    [[nodiscard]] const Value *find(std::string_view key) const;
    [[nodiscard]] Scope scope() const { return m_scope; }
    [[nodiscard]] const std::string &path() const { return m_path; }

private:
    Scope m_scope;
    std::string m_path;
    /// Sorted by key.
    std::vector<std::pair<std::string_view, const Value *>> m_values;
};

} // namespace snipestall::settings
