#include "snipestall/settings/explain_effective.hpp"

#include "snipestall/settings/document.hpp"
#include "snipestall/settings/schema.hpp"
#include "snipestall/settings/tree.hpp"

#include "limit_shares.hpp"
#include "path.hpp"
#include "resolver.hpp"

namespace snipestall::settings {
namespace {

using Values = std::vector<ResolvedValue>;

bool isSelected(const std::string &wanted, const std::string &name)
{
    return wanted.empty() || wanted == name;
}

/// Adds every setting that is inherited along the chain.
void addChain(Values &values, const Chain &chain, const std::string &name)
{
    for (const SettingInfo &setting : schema()) {
        const bool isInherited = contains(setting.scopes, chain.front()->scope())
            || contains(setting.scopes, chain.back()->scope());
        if (!isInherited || setting.key.empty())
            continue;
        ResolvedValue value = resolve(chain, setting.key);
        value.key = joinPath(name, setting.key);
        values.push_back(std::move(value));
    }
}

std::string shareSource(const Document &document, const EffectiveQuery &query)
{
    const std::string own = "customers/" + query.customer + "/shares";
    return document.find(joinPath(own, query.dataCentre)) ? own
                                                          : "data_centres/" + query.dataCentre;
}

void addLocalLimits(Values &values, const Document &document, const Chain &chain,
                    const EffectiveQuery &query, const std::string &name)
{
    const LimitShares shares = LimitShares::of(document, query.customer);
    const double share = shares.share(query.dataCentre);
    const std::string from = "share of " + shareSource(document, query);
    values.push_back({ joinPath(name, "local/share"), share, from });
    for (const auto *key : { "limits/requests_per_second", "limits/tokens_per_second" }) {
        const double total = std::get<double>(valueOf(chain, key));
        values.push_back({ joinPath(name, "local/" + std::string(key)), total * share, from });
    }
    const auto total = std::get<std::uint32_t>(valueOf(chain, "limits/concurrency"));
    values.push_back({ joinPath(name, "local/limits/concurrency"),
                       shares.divide(total, query.dataCentre), from });
}

void addServices(Values &values, const Document &document, Resolver &resolver,
                 const EffectiveQuery &query)
{
    for (const std::string &service : document.names("services")) {
        if (isSelected(query.service, service))
            addChain(values, resolver.service(query.dataCentre, service),
                     joinPath("services", service));
    }
}

void addClasses(Values &values, const Document &document, Resolver &resolver,
                const std::string &dataCentre)
{
    const std::string section = joinPath(joinPath("data_centres", dataCentre), "classes");
    for (const std::string &name : document.names(section))
        addChain(values, resolver.instanceClass(dataCentre, name), joinPath("classes", name));
}

void addCustomer(Values &values, const Document &document, Resolver &resolver,
                 const EffectiveQuery &query, const std::string &customer)
{
    const std::string section = joinPath(joinPath("customers", customer), "services");
    for (const std::string &service : document.names(section)) {
        if (!isSelected(query.service, service))
            continue;
        const std::string name = joinPath(section, service);
        const Chain chain = resolver.leaf(query.dataCentre, customer, service);
        addChain(values, chain, name);
        const EffectiveQuery leafQuery { query.dataCentre, customer, service };
        addLocalLimits(values, document, chain, leafQuery, name);
    }
}

} // namespace

std::vector<ResolvedValue> explainEffective(const Tree &tree, const EffectiveQuery &query)
{
    Values values;
    const Document &document = tree.document();
    if (!document.has(joinPath("data_centres", query.dataCentre)))
        return values;
    Resolver resolver(document);
    if (query.customer.empty()) {
        addServices(values, document, resolver, query);
        if (query.service.empty())
            addClasses(values, document, resolver, query.dataCentre);
    }
    for (const std::string &customer : document.names("customers")) {
        if (isSelected(query.customer, customer))
            addCustomer(values, document, resolver, query, customer);
    }
    return values;
}

} // namespace snipestall::settings
