#include "harness/settings_text.hpp"

#include <openssl/sha.h>

#include <array>
#include <cstdio>
#include <map>
#include <set>
#include <sstream>

namespace snipestall::harness {

namespace {

/// Returns the models of each service; a plain service has none.
std::map<std::string, std::set<std::string>> modelsByService(const TopologySpec &spec)
{
    std::map<std::string, std::set<std::string>> services;
    for (const auto &server : spec.servers)
        services[server.service].insert(server.models.begin(), server.models.end());
    return services;
}

std::string joined(const std::set<std::string> &words)
{
    std::string text;
    for (const auto &word : words)
        text += (text.empty() ? "" : ", ") + word;
    return text;
}

void writeCustomer(std::ostream &out, const std::string &name, const std::string &key,
                   const std::map<std::string, std::set<std::string>> &services)
{
    out << "  " << name << ":\n    key_hashes: [" << sha256(key) << "]\n    services:\n";
    for (const auto &[service, models] : services)
        out << "      " << service << ": {}\n";
}

} // namespace

std::string sha256(const std::string &text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::string hex;
    for (const unsigned char byte : digest) {
        std::array<char, 3> digits {};
        std::snprintf(digits.data(), digits.size(), "%02x", byte);
        hex += digits.data();
    }
    return hex;
}

std::string defaultSettings(const TopologySpec &spec)
{
    const auto services = modelsByService(spec);
    const auto dataCentres = spec.dataCentres();
    std::ostringstream out;
    out << "fleet:\n"
           "  latency: {first_token: 5s, inter_token: 1s, deadline: 60s}\n"
           "  limits: {requests_per_second: 10000, tokens_per_second: 10000000, concurrency: "
           "2000}\n"
           "classes:\n"
           "  spot: {reclaimable: true, price_per_hour: 0.3, reclaims_per_hour: 0.2}\n"
           "  steady: {reclaimable: false, price_per_hour: 1.0}\n"
           "services:\n";
    for (const auto &[service, models] : services) {
        const bool plain = models.empty();
        out << "  " << service << ": {kind: " << (plain ? "plain, idempotent: false" : "model");
        if (!plain)
            out << ", models: [" << joined(models) << "]";
        out << ", min_servers: 0}\n";
    }
    out << "data_centres:\n";
    for (const auto &dataCentre : dataCentres)
        out << "  " << dataCentre << ": {share: " << 1.0 / static_cast<double>(dataCentres.size())
            << ", classes: {spot: {}, steady: {}}}\n";
    out << "operators:\n  tester: {key_hashes: [" << sha256(OperatorKey) << "]}\ncustomers:\n";
    writeCustomer(out, "harbour", CustomerKey, services);
    writeCustomer(out, "press", OtherCustomerKey, services);
    return out.str();
}

} // namespace snipestall::harness
