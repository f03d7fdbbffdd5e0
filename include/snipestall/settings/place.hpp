#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace snipestall::settings {

/// A kind of section of the tree in which settings may stand. Values are bits of a PlaceSet.
enum class Place : std::uint16_t {
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

using PlaceSet = std::uint16_t;

constexpr PlaceSet operator|(Place a, Place b)
{
    return static_cast<PlaceSet>(static_cast<PlaceSet>(a) | static_cast<PlaceSet>(b));
}

constexpr PlaceSet operator|(PlaceSet a, Place b)
{
    return static_cast<PlaceSet>(a | static_cast<PlaceSet>(b));
}

constexpr bool contains(PlaceSet set, Place place)
{
    return (set & static_cast<PlaceSet>(place)) != 0;
}

/// Where a kind of section stands; `*` is a name that the operator chooses.
struct PlaceInfo
{
    Place place = Place::Fleet;
    std::string_view pattern;
    std::string_view meaning;
};

std::span<const PlaceInfo> places();
const PlaceInfo &info(Place place);

} // namespace snipestall::settings
