#include "resolver.hpp"

#include "snipestall/base/exception.hpp"
#include "snipestall/settings/schema.hpp"

#include "path.hpp"
#include "value_reader.hpp"

#include <map>

namespace snipestall::settings {
namespace {

using Defaults = std::map<std::string, Value, std::less<>>;

Defaults readDefaults()
{
    Defaults defaults;
    for (const SettingInfo &setting : schema()) {
        if (auto value = defaultOf(setting))
            defaults.emplace(setting.key, std::move(*value));
    }
    return defaults;
}

const Value &defaultFor(std::string_view key)
{
    static const Defaults defaults = readDefaults();
    const auto it = defaults.find(key);
    if (it == defaults.end())
        throw Exception(
            { ErrorKind::Internal,
              "no default for setting '" + std::string(key) + "'; add one to the schema" });
    return it->second;
}

std::string sectionPath(std::string_view section, std::string_view name)
{
    return joinPath(section, name);
}

std::string sectionPath(std::string_view section, std::string_view name, std::string_view part,
                        std::string_view last)
{
    return joinPath(joinPath(joinPath(section, name), part), last);
}

} // namespace

Resolver::Resolver(const Document &document)
    : m_document(document)
{ }

const SectionValues *Resolver::section(Scope scope, std::string path)
{
    const auto known = m_sections.find(path);
    if (known != m_sections.end())
        return &known->second;
    SectionValues values(m_document, scope, path);
    return &m_sections.emplace(std::move(path), std::move(values)).first->second;
}

Chain Resolver::leaf(std::string_view dataCentre, std::string_view customer,
                     std::string_view service)
{
    return { section(Scope::CustomerService,
                     sectionPath("customers", customer, "services", service)),
             section(Scope::Customer, sectionPath("customers", customer)),
             section(Scope::DataCentre, sectionPath("data_centres", dataCentre)),
             section(Scope::Fleet, "fleet") };
}

Chain Resolver::service(std::string_view dataCentre, std::string_view service)
{
    return { section(Scope::DataCentreService,
                     sectionPath("data_centres", dataCentre, "services", service)),
             section(Scope::Service, sectionPath("services", service)) };
}

Chain Resolver::instanceClass(std::string_view dataCentre, std::string_view name)
{
    return { section(Scope::DataCentreClass,
                     sectionPath("data_centres", dataCentre, "classes", name)),
             section(Scope::Class, sectionPath("classes", name)) };
}

Chain Resolver::fleet()
{
    return { section(Scope::Fleet, "fleet") };
}

const Value &valueOf(const Chain &chain, std::string_view key)
{
    for (const SectionValues *section : chain) {
        if (const Value *value = section->find(key))
            return *value;
    }
    return defaultFor(key);
}

ResolvedValue resolve(const Chain &chain, std::string_view key)
{
    for (const SectionValues *section : chain) {
        if (const Value *value = section->find(key))
            return { std::string(key), *value, section->path() };
    }
    return { std::string(key), defaultFor(key), "default" };
}

} // namespace snipestall::settings
