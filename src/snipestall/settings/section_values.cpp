#include "section_values.hpp"

#include <algorithm>

namespace snipestall::settings {

SectionValues::SectionValues(const Document &document, Scope scope, std::string path)
    : m_scope(scope)
    , m_path(std::move(path))
{
    const std::string prefix = m_path + "/";
    for (auto it = document.values.lower_bound(prefix); it != document.values.end(); ++it) {
        const std::string_view key = it->first;
        if (!key.starts_with(prefix))
            break;
        m_values.emplace_back(key.substr(prefix.size()), &it->second);
    }
}

const Value *SectionValues::find(std::string_view key) const
{
    const auto it = std::lower_bound(
        m_values.begin(), m_values.end(), key,
        [](const auto &entry, std::string_view wanted) { return entry.first < wanted; });
    return it != m_values.end() && it->first == key ? it->second : nullptr;
}

} // namespace snipestall::settings
