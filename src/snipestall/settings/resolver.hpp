#pragma once

#include "snipestall/settings/document.hpp"
#include "snipestall/settings/place.hpp"
#include "snipestall/settings/resolved_value.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace snipestall::settings {

/// One section in which a value may stand.
struct Level
{
    Place place = Place::Fleet;
    std::string path;
};

/// Sections from the most specific to the most general.
using Chain = std::vector<Level>;

Chain leafChain(std::string_view dataCentre, std::string_view customer, std::string_view service);
Chain serviceChain(std::string_view dataCentre, std::string_view service);
Chain classChain(std::string_view dataCentre, std::string_view name);

/// The value of the first level of the chain that says one, or the schema's default.
/// `key` must be in the schema at some place of the chain.
ResolvedValue resolve(const Document &document, const Chain &chain, std::string_view key);

/// A data centre's part of a customer's limits, 0 to 1.
double shareOf(const Document &document, std::string_view customer, std::string_view dataCentre);

} // namespace snipestall::settings
