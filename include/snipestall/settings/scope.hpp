#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace snipestall::settings {

/// A kind of section of the tree that may hold settings. The values are bits of a ScopeSet.
enum class Scope : std::uint16_t {
    Fleet = 1,
    DataCentre = 2,
    Customer = 4,
    CustomerService = 8,
    CustomerShare = 16,
    Service = 32,
    DataCentreService = 64,
    Class = 128,
    DataCentreClass = 256,
    Operator = 512,
};

using ScopeSet = std::uint16_t;

constexpr ScopeSet operator|(Scope a, Scope b)
{
    return static_cast<ScopeSet>(static_cast<ScopeSet>(a) | static_cast<ScopeSet>(b));
}

constexpr ScopeSet operator|(ScopeSet a, Scope b)
{
    return static_cast<ScopeSet>(a | static_cast<ScopeSet>(b));
}

constexpr bool contains(ScopeSet set, Scope scope)
{
    return (set & static_cast<ScopeSet>(scope)) != 0;
}

/// Path pattern and description of a kind of section.
struct ScopeInfo
{
    Scope scope = Scope::Fleet;
    /// Path in which `*` stands for a name that the operator chooses.
    std::string_view pattern;
    std::string_view description;
};

/// Every kind of section, in the order of the reference page.
std::span<const ScopeInfo> scopes();
const ScopeInfo &scopeInfo(Scope scope);

} // namespace snipestall::settings
