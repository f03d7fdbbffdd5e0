#pragma once

#include "snipestall/settings/document.hpp"
#include "snipestall/settings/place.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipestall::settings {

/// What one section of a document says, laid out to be asked many times. Refers to the document.
class SectionValues
{
public:
    SectionValues(const Document &document, Place place, std::string path);

    /// Null where the section says nothing.
    [[nodiscard]] const Value *find(std::string_view key) const;
    [[nodiscard]] Place place() const { return m_place; }
    [[nodiscard]] const std::string &path() const { return m_path; }

private:
    Place m_place;
    std::string m_path;
    /// By key.
    std::vector<std::pair<std::string_view, const Value *>> m_values;
};

} // namespace snipestall::settings
