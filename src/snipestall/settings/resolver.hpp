#pragma once

#include "snipestall/settings/resolved_value.hpp"

#include "section_values.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipestall::settings {

/// Sections in order of precedence, from the most specific to the most general.
using Chain = std::vector<const SectionValues *>;

/// Builds the chains of inheritance of one document. Each section is indexed once and reused by all
/// chains. Must not outlive the document; chains must not outlive the resolver.
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
    const SectionValues *section(Scope scope, std::string path);

    const Document &m_document;
    std::unordered_map<std::string, SectionValues> m_sections;
};

/// The value of the first section of the chain that sets the key, otherwise the schema's default.
/// Throws Exception if the schema has none.
const Value &valueOf(const Chain &chain, std::string_view key);
/// The same value with the path of the section that sets it.
ResolvedValue resolve(const Chain &chain, std::string_view key);

} // namespace snipestall::settings
