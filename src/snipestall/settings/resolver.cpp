#include "resolver.hpp"

#include "snipestall/base/exception.hpp"
#include "snipestall/settings/schema.hpp"

#include "path.hpp"
#include "value_reader.hpp"

namespace snipestall::settings {
namespace {

std::string under(std::string_view section, std::string_view name, std::string_view rest = {},
                  std::string_view last = {})
{
    std::string path = joinPath(section, name);
    if (!rest.empty())
        path = joinPath(joinPath(path, rest), last);
    return path;
}

ResolvedValue defaultIn(const Chain &chain, std::string_view key)
{
    for (const Level &level : chain) {
        const SettingInfo *setting = findSetting(level.place, key);
        if (!setting)
            continue;
        if (auto value = defaultOf(*setting))
            return { std::string(key), std::move(*value), "default" };
    }
    throw Exception({ ErrorKind::Internal,
                      "no default for setting '" + std::string(key) + "'; add one to the schema" });
}

} // namespace

Chain leafChain(std::string_view dataCentre, std::string_view customer, std::string_view service)
{
    return { { Place::CustomerService, under("customers", customer, "services", service) },
             { Place::Customer, under("customers", customer) },
             { Place::DataCentre, under("data_centres", dataCentre) },
             { Place::Fleet, "fleet" } };
}

Chain serviceChain(std::string_view dataCentre, std::string_view service)
{
    return { { Place::DataCentreService, under("data_centres", dataCentre, "services", service) },
             { Place::Service, under("services", service) } };
}

Chain classChain(std::string_view dataCentre, std::string_view name)
{
    return { { Place::DataCentreClass, under("data_centres", dataCentre, "classes", name) },
             { Place::Class, under("classes", name) } };
}

ResolvedValue resolve(const Document &document, const Chain &chain, std::string_view key)
{
    for (const Level &level : chain) {
        if (const Value *value = document.find(joinPath(level.path, key)))
            return { std::string(key), *value, level.path };
    }
    return defaultIn(chain, key);
}

double shareOf(const Document &document, std::string_view customer, std::string_view dataCentre)
{
    const Value *own = document.find(under("customers", customer, "shares", dataCentre));
    if (own)
        return std::get<double>(*own);
    const Value *shared = document.find(under("data_centres", dataCentre) + "/share");
    return shared ? std::get<double>(*shared) : 0.0;
}

} // namespace snipestall::settings
