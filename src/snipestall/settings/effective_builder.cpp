#include "effective_builder.hpp"

#include "snipestall/settings/document.hpp"
#include "snipestall/settings/effective_settings.hpp"

#include "limit_shares.hpp"
#include "path.hpp"
#include "resolver.hpp"

#include <array>
#include <string>
#include <variant>

namespace snipestall::settings {
namespace {

/// Pointer to the member of a row that holds a setting's value; one alternative for each type in
/// use.
template<typename Row>
using Member = std::variant<std::chrono::milliseconds Row::*, double Row::*, std::uint32_t Row::*,
                            bool Row::*>;

template<typename Row>
struct Field
{
    std::string_view key;
    Member<Row> member;
};

const std::array LeafFields {
    Field<LeafSettings> { "latency/first_token", &LeafSettings::firstTokenTarget },
    Field<LeafSettings> { "latency/inter_token", &LeafSettings::interTokenTarget },
    Field<LeafSettings> { "latency/deadline", &LeafSettings::deadline },
    Field<LeafSettings> { "weight", &LeafSettings::weight },
    Field<LeafSettings> { "cost_preference", &LeafSettings::costPreference },
    Field<LeafSettings> { "limits/requests_per_second", &LeafSettings::requestsPerSecond },
    Field<LeafSettings> { "limits/tokens_per_second", &LeafSettings::tokensPerSecond },
    Field<LeafSettings> { "limits/concurrency", &LeafSettings::concurrency },
};

const std::array ServiceFields {
    Field<ServiceSettings> { "idempotent", &ServiceSettings::idempotent },
    Field<ServiceSettings> { "checks_fencing", &ServiceSettings::checksFencing },
    Field<ServiceSettings> { "slots_per_server", &ServiceSettings::slotsPerServer },
    Field<ServiceSettings> { "urgent_reserve", &ServiceSettings::urgentReserve },
    Field<ServiceSettings> { "short_tokens", &ServiceSettings::shortTokens },
    Field<ServiceSettings> { "min_servers", &ServiceSettings::minServers },
    Field<ServiceSettings> { "max_servers", &ServiceSettings::maxServers },
    Field<ServiceSettings> { "start_time", &ServiceSettings::startTime },
};

const std::array ClassFields {
    Field<ClassSettings> { "reclaimable", &ClassSettings::reclaimable },
    Field<ClassSettings> { "price_per_hour", &ClassSettings::pricePerHour },
    Field<ClassSettings> { "reclaims_per_hour", &ClassSettings::reclaimsPerHour },
};

template<typename Row, std::size_t Size>
void fill(Row &row, const std::array<Field<Row>, Size> &fields, const Chain &chain)
{
    for (const Field<Row> &field : fields) {
        const Value &value = valueOf(chain, field.key);
        std::visit(
            [&](auto member) {
                using Type = std::remove_reference_t<decltype(row.*member)>;
                row.*member = std::get<Type>(value);
            },
            field.member);
    }
}

using Names = std::vector<std::string>;

ServiceSettings serviceRow(Resolver &resolver, std::string_view dataCentre, const std::string &name)
{
    const Chain chain = resolver.service(dataCentre, name);
    ServiceSettings row;
    row.service = name;
    const bool isPlain = std::get<std::string>(valueOf(chain, "kind")) == "plain";
    row.kind = isPlain ? ServiceKind::Plain : ServiceKind::Model;
    row.models = std::get<Names>(valueOf(chain, "models"));
    fill(row, ServiceFields, chain);
    return row;
}

LeafSettings leafRow(const Chain &chain, const LimitShares &shares, std::string_view dataCentre)
{
    LeafSettings row;
    fill(row, LeafFields, chain);
    const double share = shares.share(dataCentre);
    row.requestsPerSecond *= share;
    row.tokensPerSecond *= share;
    row.concurrency = shares.divide(row.concurrency, dataCentre);
    return row;
}

void addLeaves(EffectiveSettings &view, const Document &document, Resolver &resolver)
{
    const LimitShares common = LimitShares::of(document, "");
    for (const std::string &customer : document.names("customers")) {
        const bool hasOwnShares = LimitShares::hasOwnShares(document, customer);
        const LimitShares shares = hasOwnShares ? LimitShares::of(document, customer) : common;
        const std::string services = joinPath(joinPath("customers", customer), "services");
        for (const std::string &service : document.names(services)) {
            const Chain chain = resolver.leaf(view.dataCentre, customer, service);
            LeafSettings row = leafRow(chain, shares, view.dataCentre);
            row.customer = customer;
            row.service = service;
            view.leaves.push_back(std::move(row));
        }
    }
}

void addClasses(EffectiveSettings &view, const Document &document, Resolver &resolver)
{
    const std::string section = joinPath(joinPath("data_centres", view.dataCentre), "classes");
    for (const std::string &name : document.names(section)) {
        ClassSettings row;
        row.dataCentre = view.dataCentre;
        row.name = name;
        fill(row, ClassFields, resolver.instanceClass(view.dataCentre, name));
        view.classes.push_back(std::move(row));
    }
}

void addKeys(std::map<std::string, std::string, std::less<>> &holderByHash,
             const Document &document, const std::string &section)
{
    for (const std::string &name : document.names(section)) {
        const Value *hashes = document.find(joinPath(joinPath(section, name), "key_hashes"));
        if (!hashes)
            continue;
        for (const std::string &hash : std::get<Names>(*hashes))
            holderByHash.emplace(hash, name);
    }
}

} // namespace

std::shared_ptr<const EffectiveSettings>
buildEffective(const Document &document, std::string_view dataCentre, std::uint64_t version)
{
    auto view = std::make_shared<EffectiveSettings>();
    view->version = version;
    view->dataCentre = dataCentre;
    Resolver resolver(document);
    for (const std::string &name : document.names("services"))
        view->services.push_back(serviceRow(resolver, dataCentre, name));
    addLeaves(*view, document, resolver);
    addClasses(*view, document, resolver);
    addKeys(view->customerByKeyHash, document, "customers");
    addKeys(view->operatorByKeyHash, document, "operators");
    return view;
}

} // namespace snipestall::settings
