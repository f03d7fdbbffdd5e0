#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipestall::wire {

/// Header fields in insertion order; names are case-insensitive.
class HttpFields
{
public:
    /// Adds a field or replaces the value of an existing one.
    void set(std::string_view name, std::string value);
    [[nodiscard]] std::optional<std::string> find(std::string_view name) const;
    [[nodiscard]] const std::vector<std::pair<std::string, std::string>> &all() const
    {
        return m_fields;
    }

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

} // namespace snipestall::wire
