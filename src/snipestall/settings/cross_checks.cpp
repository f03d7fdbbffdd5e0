#include "cross_checks.hpp"

#include "snipestall/settings/document.hpp"

#include "limit_shares.hpp"
#include "path.hpp"
#include "resolver.hpp"
#include "suggestion.hpp"

#include <array>
#include <chrono>
#include <map>
#include <string>

namespace snipestall::settings {
namespace {

/// Decimal shares such as 0.1 are not exact in binary, so the sum of ten of them may exceed 1 by up
/// to this much.
constexpr double ShareSumTolerance = 1e-9;

using Faults = std::vector<Fault>;
using Names = std::vector<std::string>;

const Names &listAt(const Document &document, const std::string &path)
{
    static const Names none;
    const Value *value = document.find(path);
    return value ? std::get<Names>(*value) : none;
}

void checkReferences(const Document &document, Faults &faults, const std::string &section,
                     const std::string &target)
{
    const Names known = document.names(target);
    for (const std::string &name : document.names(section)) {
        if (document.has(joinPath(target, name)))
            continue;
        const std::string suggestion = nearestName(name, known);
        faults.push_back({ joinPath(section, name), "no " + joinPath(target, name),
                           suggestion.empty() ? "a name defined under " + target
                                              : "did you mean " + suggestion + "?" });
    }
}

void checkAllReferences(const Document &document, Faults &faults)
{
    for (const std::string &name : document.names("customers")) {
        const std::string customer = joinPath("customers", name);
        checkReferences(document, faults, customer + "/services", "services");
    }
    for (const std::string &name : document.names("data_centres"))
        checkReferences(document, faults, joinPath("data_centres", name) + "/services", "services");
}

void checkShareNames(const Document &document, Faults &faults)
{
    for (const auto &[path, value] : document.values) {
        const auto segments = splitPath(path);
        constexpr std::size_t ShareDepth = 4;
        if (segments.size() != ShareDepth || segments[0] != "customers" || segments[2] != "shares")
            continue;
        if (!document.has(joinPath("data_centres", segments[3])))
            faults.push_back(
                { path, "no data_centres/" + segments[3], "a name defined under data_centres" });
    }
}

void checkShareSum(const Document &document, Faults &faults, const std::string &customer,
                   const std::string &path)
{
    const double sum = LimitShares::of(document, customer).sum();
    if (sum > 1 + ShareSumTolerance)
        faults.push_back({ path, "shares that sum to " + toText(sum), "a sum of at most 1" });
}

void checkShares(const Document &document, Faults &faults)
{
    for (const std::string &name : document.names("data_centres")) {
        const std::string path = joinPath("data_centres", name) + "/share";
        if (!document.find(path))
            faults.push_back({ path, "nothing", "a number from 0 to 1; shares sum to at most 1" });
    }
    checkShareNames(document, faults);
    checkShareSum(document, faults, "", "data_centres");
    for (const std::string &name : document.names("customers")) {
        if (LimitShares::hasOwnShares(document, name))
            checkShareSum(document, faults, name, joinPath("customers", name) + "/shares");
    }
}

void checkModels(const Document &document, Faults &faults)
{
    std::map<std::string, std::string> serviceByModel;
    for (const std::string &name : document.names("services")) {
        const std::string path = joinPath("services", name) + "/models";
        const Value *kind = document.find(joinPath("services", name) + "/kind");
        const bool isPlain = kind && std::get<std::string>(*kind) == "plain";
        const Names &models = listAt(document, path);
        if (isPlain && !models.empty())
            faults.push_back({ path, "models of a plain service", "none, or kind: model" });
        if (!isPlain && models.empty())
            faults.push_back({ path, "nothing", "at least one model, or kind: plain" });
        for (const std::string &model : models) {
            const auto [other, isNew] = serviceByModel.emplace(model, name);
            if (!isNew)
                faults.push_back({ path, model + ", which " + other->second + " also has",
                                   "a model of one service only" });
        }
    }
}

void checkKeys(const Document &document, Faults &faults, const std::string &section,
               std::map<std::string, std::string> &holderByHash)
{
    for (const std::string &name : document.names(section)) {
        const std::string holder = joinPath(section, name);
        for (const std::string &hash : listAt(document, holder + "/key_hashes")) {
            const auto [other, isNew] = holderByHash.emplace(hash, holder);
            if (!isNew)
                faults.push_back({ holder + "/key_hashes",
                                   "a key that " + other->second + " also has",
                                   "a key of one customer or operator only" });
        }
    }
}

// If no operator had a key, nobody could change the settings any more.
void checkOperators(const Document &document, Faults &faults)
{
    for (const std::string &name : document.names("operators")) {
        if (!listAt(document, joinPath("operators", name) + "/key_hashes").empty())
            return;
    }
    faults.push_back({ "operators", "no operator with a key", "at least one key_hashes entry" });
}

void checkServers(Faults &faults, const Chain &chain)
{
    const ResolvedValue minServers = resolve(chain, "min_servers");
    const ResolvedValue maxServers = resolve(chain, "max_servers");
    if (std::get<std::uint32_t>(minServers.value) <= std::get<std::uint32_t>(maxServers.value))
        return;
    const std::string section = minServers.from == "default" ? maxServers.from : minServers.from;
    faults.push_back({ section + "/min_servers", toText(minServers.value),
                       "at most max_servers, which is " + toText(maxServers.value) + " from "
                           + maxServers.from });
}

void checkLatency(Faults &faults, const Chain &chain)
{
    using std::chrono::milliseconds;
    const auto first = std::get<milliseconds>(valueOf(chain, "latency/first_token"));
    const auto deadline = std::get<milliseconds>(valueOf(chain, "latency/deadline"));
    if (first <= deadline)
        return;
    faults.push_back({ chain.front()->path() + "/latency/first_token",
                       toText(first) + " from " + resolve(chain, "latency/first_token").from,
                       "at most latency/deadline, which is " + toText(deadline) + " from "
                           + resolve(chain, "latency/deadline").from });
}

/// Stands for every data centre without overrides. It is not a valid name, so no data centre can
/// have it.
constexpr const char *AnyDataCentre = "*";

/// The data centres to check: AnyDataCentre, and each one that overrides a latency.
Names dataCentresWithLatency(const Document &document)
{
    Names found { AnyDataCentre };
    for (const std::string &name : document.names("data_centres")) {
        const std::string latency = joinPath("data_centres", name) + "/latency/";
        const auto first = document.values.lower_bound(latency);
        if (first != document.values.end() && first->first.starts_with(latency))
            found.push_back(name);
    }
    return found;
}

void checkAllServers(const Document &document, Faults &faults, Resolver &resolver)
{
    for (const std::string &service : document.names("services"))
        checkServers(faults, resolver.service(AnyDataCentre, service));
    for (const std::string &dataCentre : document.names("data_centres")) {
        for (const std::string &service :
             document.names(joinPath("data_centres", dataCentre) + "/services"))
            checkServers(faults, resolver.service(dataCentre, service));
    }
}

void checkAllLatencies(const Document &document, Faults &faults, Resolver &resolver)
{
    checkLatency(faults, resolver.fleet());
    const Names dataCentres = dataCentresWithLatency(document);
    for (const std::string &customer : document.names("customers")) {
        for (const std::string &service :
             document.names(joinPath("customers", customer) + "/services")) {
            for (const std::string &dataCentre : dataCentres)
                checkLatency(faults, resolver.leaf(dataCentre, customer, service));
        }
    }
}

} // namespace

std::vector<Fault> crossCheck(const Document &document)
{
    Faults faults;
    checkAllReferences(document, faults);
    checkShares(document, faults);
    checkModels(document, faults);
    std::map<std::string, std::string> holderByHash;
    checkKeys(document, faults, "operators", holderByHash);
    checkKeys(document, faults, "customers", holderByHash);
    checkOperators(document, faults);
    Resolver resolver(document);
    checkAllServers(document, faults, resolver);
    checkAllLatencies(document, faults, resolver);
    return faults;
}

} // namespace snipestall::settings
