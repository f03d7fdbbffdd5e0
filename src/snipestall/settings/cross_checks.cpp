#include "cross_checks.hpp"

#include "snipestall/settings/document.hpp"

#include "path.hpp"
#include "resolver.hpp"
#include "suggestion.hpp"

#include <array>
#include <chrono>
#include <map>
#include <string>

namespace snipestall::settings {
namespace {

/// Decimal shares such as 0.1 are not exact in binary; ten of them may pass 1 by this much.
constexpr double ShareRounding = 1e-9;

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
        const std::string meant = nearest(name, known);
        faults.push_back({ joinPath(section, name), "no " + joinPath(target, name),
                           meant.empty() ? "a name that stands under " + target
                                         : "did you mean " + meant + "?" });
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
            faults.push_back({ path, "no data_centres/" + segments[3],
                               "a name that stands under data_centres" });
    }
}

void checkShareSum(const Document &document, Faults &faults, const std::string &customer,
                   const std::string &path)
{
    double sum = 0;
    for (const std::string &dataCentre : document.names("data_centres"))
        sum += shareOf(document, customer, dataCentre);
    if (sum > 1 + ShareRounding)
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
        const std::string shares = joinPath("customers", name) + "/shares";
        const auto first = document.values.lower_bound(shares + "/");
        if (first != document.values.end() && first->first.starts_with(shares + "/"))
            checkShareSum(document, faults, name, shares);
    }
}

void checkModels(const Document &document, Faults &faults)
{
    std::map<std::string, std::string> serviceOf;
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
            const auto [other, isNew] = serviceOf.emplace(model, name);
            if (!isNew)
                faults.push_back({ path, model + ", which is a model of " + other->second + " too",
                                   "each model in one service" });
        }
    }
}

void checkKeys(const Document &document, Faults &faults, const std::string &section,
               std::map<std::string, std::string> &holderOf)
{
    for (const std::string &name : document.names(section)) {
        const std::string holder = joinPath(section, name);
        for (const std::string &hash : listAt(document, holder + "/key_hashes")) {
            const auto [other, isNew] = holderOf.emplace(hash, holder);
            if (!isNew)
                faults.push_back({ holder + "/key_hashes", "a key of " + other->second + " too",
                                   "each key for one holder" });
        }
    }
}

// A document without an operator's key would be the last one: nobody could change it any more.
void checkOperators(const Document &document, Faults &faults)
{
    for (const std::string &name : document.names("operators")) {
        if (!listAt(document, joinPath("operators", name) + "/key_hashes").empty())
            return;
    }
    faults.push_back({ "operators", "no operator with a key", "at least one key_hashes entry" });
}

void checkServers(const Document &document, Faults &faults, const std::string &dataCentre,
                  const std::string &service)
{
    const Chain chain = serviceChain(dataCentre, service);
    const ResolvedValue least = resolve(document, chain, "min_servers");
    const ResolvedValue most = resolve(document, chain, "max_servers");
    if (std::get<std::uint32_t>(least.value) <= std::get<std::uint32_t>(most.value))
        return;
    const std::string section = least.from == "default" ? most.from : least.from;
    faults.push_back(
        { section + "/min_servers", toText(least.value),
          "at most max_servers, which is " + toText(most.value) + " from " + most.from });
}

void checkLatency(const Document &document, Faults &faults, const Chain &chain)
{
    using std::chrono::milliseconds;
    const ResolvedValue first = resolve(document, chain, "latency/first_token");
    const ResolvedValue deadline = resolve(document, chain, "latency/deadline");
    if (std::get<milliseconds>(first.value) <= std::get<milliseconds>(deadline.value))
        return;
    faults.push_back({ chain.front().path + "/latency/first_token",
                       toText(first.value) + " from " + first.from,
                       "at most latency/deadline, which is " + toText(deadline.value) + " from "
                           + deadline.from });
}

void checkOrder(const Document &document, Faults &faults)
{
    const Names dataCentres = document.names("data_centres");
    const Chain fleet { { Place::Fleet, "fleet" } };
    checkLatency(document, faults, fleet);
    for (const std::string &service : document.names("services"))
        checkServers(document, faults, "*", service);
    for (const std::string &dataCentre : dataCentres) {
        for (const std::string &service :
             document.names(joinPath("data_centres", dataCentre) + "/services"))
            checkServers(document, faults, dataCentre, service);
    }
    for (const std::string &customer : document.names("customers")) {
        for (const std::string &service :
             document.names(joinPath("customers", customer) + "/services")) {
            for (const std::string &dataCentre : dataCentres)
                checkLatency(document, faults, leafChain(dataCentre, customer, service));
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
    std::map<std::string, std::string> holderOf;
    checkKeys(document, faults, "operators", holderOf);
    checkKeys(document, faults, "customers", holderOf);
    checkOperators(document, faults);
    checkOrder(document, faults);
    return faults;
}

} // namespace snipestall::settings
