#pragma once

#include "snipestall/settings/resolved_value.hpp"

#include "section_values.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipestall::settings {

/// Sections from the most special to the most general.
using Chain = std::vector<const SectionValues *>;

/// The inheritance of one document: chains of sections, each section looked through once. Must not
/// outlive the document.
///
///     Resolver resolver(document);
///     const Chain chain = resolver.leaf("samsun-hall", "kiyi", "language");
///     const Value &weight = valueOf(chain, "weight");
class Resolver
{
public:
    explicit Resolver(const Document &document);

    Chain leaf(std::string_view dataCentre, std::string_view customer, std::string_view service);
    Chain service(std::string_view dataCentre, std::string_view service);
    Chain instanceClass(std::string_view dataCentre, std::string_view name);
    Chain fleet();

private:
    const SectionValues *section(Place place, std::string path);

    const Document &m_document;
    std::unordered_map<std::string, SectionValues> m_sections;
};

/// The value of the first section that says one, or else the schema's default.
const Value &valueOf(const Chain &chain, std::string_view key);
/// The same with the section that it comes from.
ResolvedValue resolve(const Chain &chain, std::string_view key);

} // namespace snipestall::settings
