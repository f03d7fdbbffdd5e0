#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipestall::wire {

/// Header fields in order; names compare without case.
class HttpFields
{
public:
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
