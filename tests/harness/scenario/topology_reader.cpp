#include "harness/scenario/topology_reader.hpp"

#include <array>
#include <fstream>
#include <sstream>

namespace snipestall::harness {

using policy::harness::YamlFields;

namespace {

struct ProxyPlace
{
    std::string_view name;
    bool TopologySpec::*proxied;
};

constexpr std::array ProxyPlaces {
    ProxyPlace { "platform", &TopologySpec::platformProxied },
    ProxyPlace { "peers", &TopologySpec::peersProxied },
    ProxyPlace { "links", &TopologySpec::linksProxied },
    ProxyPlace { "callers", &TopologySpec::callersProxied },
    ProxyPlace { "servers", &TopologySpec::serversProxied },
};

std::vector<std::string> texts(const YAML::Node &node)
{
    std::vector<std::string> all;
    if (!node.IsDefined())
        return all;
    for (const auto &entry : node)
        all.push_back(entry.Scalar());
    return all;
}

/// Reads the entry instances: {north: 2, south: 1} gives north-1, north-2, south-1.
void readEntries(const YAML::Node &node, TopologySpec &spec)
{
    for (const auto &dataCentre : node) {
        const std::string name = dataCentre.first.Scalar();
        const int count = dataCentre.second.as<int>();
        for (int i = 1; i <= count; ++i)
            spec.entries.push_back({ name + "-" + std::to_string(i), name });
    }
}

/// Reads the backend servers: SERVICE: {in: {north: 2}, models: [..], class: .., arguments: [..]}
/// gives SERVICE-north-1 and SERVICE-north-2.
void readServers(const YAML::Node &node, const std::string &path, TopologySpec &spec,
                 Faults &faults)
{
    for (const auto &entry : node) {
        const std::string service = entry.first.Scalar();
        YamlFields fields(entry.second, path + "/" + service, faults);
        ServerSpec server;
        server.service = service;
        server.models = texts(fields.child("models"));
        server.arguments = texts(fields.child("arguments"));
        const YAML::Node instanceClass = fields.child("class");
        if (instanceClass.IsDefined())
            server.instanceClass = instanceClass.Scalar();
        for (const auto &place : fields.child("in")) {
            server.dataCentre = place.first.Scalar();
            for (int i = 1; i <= place.second.as<int>(); ++i) {
                server.name = service + "-" + server.dataCentre + "-" + std::to_string(i);
                spec.servers.push_back(server);
            }
        }
        fields.rejectOthers();
    }
}

void readProxies(const YAML::Node &node, const std::string &path, TopologySpec &spec,
                 Faults &faults)
{
    for (const auto &name : texts(node)) {
        bool known = false;
        for (const auto &place : ProxyPlaces) {
            if (place.name != name)
                continue;
            spec.*place.proxied = true;
            known = true;
        }
        if (!known)
            faults.push_back({ path, name, "platform, peers, links, callers or servers" });
    }
}

/// Reads a file of the repository, so that a scenario can run a deployment's own settings tree.
std::string readSource(const std::string &file, const std::string &path, Faults &faults)
{
    const std::ifstream stream(std::string(SNIPESTALL_SOURCES) + "/" + file);
    if (!stream)
        faults.push_back({ path, file, "a file of the repository" });
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace

TopologySpec readTopology(const YAML::Node &node, const std::string &path, Faults &faults)
{
    TopologySpec spec;
    if (!node.IsDefined())
        return TopologySpec::small();
    YamlFields fields(node, path, faults);
    readEntries(fields.child("entries"), spec);
    readServers(fields.child("servers"), path + "/servers", spec, faults);
    readProxies(fields.child("proxied"), path + "/proxied", spec, faults);
    const YAML::Node settings = fields.child("settings");
    if (settings.IsDefined())
        spec.settings = readSource(settings.Scalar(), path + "/settings", faults);
    const YAML::Node operatorKey = fields.child("operator_key");
    if (operatorKey.IsDefined())
        spec.operatorKey = operatorKey.Scalar();
    const YAML::Node customerKey = fields.child("customer_key");
    if (customerKey.IsDefined())
        spec.customerKey = customerKey.Scalar();
    fields.rejectOthers();
    if (spec.entries.empty() && spec.servers.empty()) {
        const TopologySpec small = TopologySpec::small();
        spec.entries = small.entries;
        spec.servers = small.servers;
    }
    return spec;
}

} // namespace snipestall::harness
