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

std::string under(std::string_view section, std::string_view name)
{
    return joinPath(section, name);
}

std::string under(std::string_view section, std::string_view name, std::string_view part,
                  std::string_view last)
{
    return joinPath(joinPath(joinPath(section, name), part), last);
}

} // namespace

Resolver::Resolver(const Document &document)
    : m_document(document)
{ }

const SectionValues *Resolver::section(Place place, std::string path)
{
    const auto known = m_sections.find(path);
    if (known != m_sections.end())
        return &known->second;
    SectionValues values(m_document, place, path);
    return &m_sections.emplace(std::move(path), std::move(values)).first->second;
}

Chain Resolver::leaf(std::string_view dataCentre, std::string_view customer,
                     std::string_view service)
{
    return { section(Place::CustomerService, under("customers", customer, "services", service)),
             section(Place::Customer, under("customers", customer)),
             section(Place::DataCentre, under("data_centres", dataCentre)),
             section(Place::Fleet, "fleet") };
}

Chain Resolver::service(std::string_view dataCentre, std::string_view service)
{
    return { section(Place::DataCentreService,
                     under("data_centres", dataCentre, "services", service)),
             section(Place::Service, under("services", service)) };
}

Chain Resolver::instanceClass(std::string_view dataCentre, std::string_view name)
{
    return { section(Place::DataCentreClass, under("data_centres", dataCentre, "classes", name)),
             section(Place::Class, under("classes", name)) };
}

Chain Resolver::fleet()
{
    return { section(Place::Fleet, "fleet") };
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
