#include "snipestall/entry/local_settings.hpp"

#include <yaml-cpp/yaml.h>

#include <array>
#include <set>
#include <string>
#include <utility>

namespace snipestall::entry {

namespace {

using settings::Fault;

constexpr std::string_view AllowedAddress = "an address such as 127.0.0.1:8080";
constexpr std::string_view AllowedName = "a name of letters, digits, '-', '_' and '.'";
constexpr std::string_view AllowedHash =
    "64 lower-case hex digits, the output of sha256sum for the key";

struct LevelName
{
    std::string_view name;
    Severity severity;
};

constexpr std::array<LevelName, 4> LevelNames { {
    { "debug", Severity::Debug },
    { "info", Severity::Info },
    { "warning", Severity::Warning },
    { "error", Severity::Error },
} };

/// Reads one document and collects all faults instead of stopping at the first.
class Reader
{
public:
    explicit Reader(std::vector<Fault> &faults)
        : m_faults(faults)
    { }

    void fault(const std::string &path, const std::string &found, std::string_view allowed)
    {
        m_faults.push_back({ path, found, std::string(allowed) });
    }

    std::string text(const YAML::Node &parent, const std::string &path, const char *key,
                     bool required)
    {
        const YAML::Node node =
            parent.IsMap() ? parent[key] : YAML::Node(YAML::NodeType::Undefined);
        if (node.IsDefined() && node.IsScalar())
            return node.Scalar();
        if (node.IsDefined())
            fault(join(path, key), "a list or a map", "a string");
        else if (required)
            fault(join(path, key), "nothing", "a value, because there is no default");
        return {};
    }

    std::string name(const YAML::Node &parent, const std::string &path, const char *key)
    {
        std::string value = text(parent, path, key, true);
        constexpr std::string_view Allowed =
            "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
        if (value.find_first_not_of(Allowed) != std::string::npos)
            fault(join(path, key), value, AllowedName);
        return value;
    }

    wire::Endpoint address(const YAML::Node &parent, const std::string &path, const char *key,
                           bool required)
    {
        const std::string value = text(parent, path, key, required);
        if (value.empty())
            return {};
        const auto endpoint = wire::Endpoint::parse(value);
        if (!endpoint)
            fault(join(path, key), value, AllowedAddress);
        return endpoint.value_or(wire::Endpoint {});
    }

    YAML::Node section(const YAML::Node &parent, const char *key)
    {
        const YAML::Node node = parent[key];
        if (node.IsDefined() && node.IsMap())
            return node;
        fault(key, node.IsDefined() ? "not a map" : "nothing", "a map");
        return YAML::Node(YAML::NodeType::Map);
    }

    void checkKeys(const YAML::Node &map, const std::string &path,
                   const std::set<std::string> &allowed)
    {
        if (!map.IsMap())
            return;
        std::string list;
        for (const std::string &key : allowed)
            list += (list.empty() ? "" : ", ") + key;
        for (const auto &entry : map) {
            const auto key = entry.first.as<std::string>("?");
            if (!allowed.contains(key))
                fault(join(path, key), "an unknown key", "one of: " + list);
        }
    }

    static std::string join(const std::string &path, const std::string &key)
    {
        return path.empty() ? key : path + "/" + key;
    }

private:
    std::vector<Fault> &m_faults;
};

void readSeeds(Reader &reader, const YAML::Node &peers, LocalSettings &local)
{
    const YAML::Node seeds = peers["seeds"];
    if (!seeds.IsDefined())
        return;
    if (!seeds.IsSequence())
        return reader.fault("peers/seeds", "not a list", "a list of instances");
    for (std::size_t i = 0; i < seeds.size(); ++i) {
        const std::string path = "peers/seeds/" + std::to_string(i);
        reader.checkKeys(seeds[i], path, { "instance", "data_centre", "address" });
        Seed seed;
        seed.instance = reader.name(seeds[i], path, "instance");
        seed.dataCentre = reader.name(seeds[i], path, "data_centre");
        seed.address = reader.address(seeds[i], path, "address", true);
        local.seeds.push_back(std::move(seed));
    }
}

void readLog(Reader &reader, const YAML::Node &root, LocalSettings &local)
{
    const YAML::Node log = root["log"];
    if (!log.IsDefined())
        return;
    reader.checkKeys(log, "log", { "format", "level" });
    const std::string format = reader.text(log, "log", "format", false);
    if (format == "json")
        local.logFormat = LogFormat::Json;
    else if (!format.empty() && format != "text")
        reader.fault("log/format", format, "text or json");
    const std::string level = reader.text(log, "log", "level", false);
    bool known = level.empty();
    for (const LevelName &candidate : LevelNames) {
        if (candidate.name == level) {
            local.logLevel = candidate.severity;
            known = true;
        }
    }
    if (!known)
        reader.fault("log/level", level, "debug, info, warning or error");
}

void readOperators(Reader &reader, const YAML::Node &root, LocalSettings &local)
{
    const YAML::Node operators = reader.section(root, "operators");
    reader.checkKeys(operators, "operators", { "listen", "bootstrap_key_sha256" });
    local.operators = reader.address(operators, "operators", "listen", true);
    local.bootstrapKeyHash = reader.text(operators, "operators", "bootstrap_key_sha256", false);
    const std::string &hash = local.bootstrapKeyHash;
    const bool malformed = !hash.empty()
        && (hash.size() != 64 || hash.find_first_not_of("0123456789abcdef") != hash.npos);
    if (malformed)
        reader.fault("operators/bootstrap_key_sha256", "another value", AllowedHash);
}

LocalSettings readAll(Reader &reader, const YAML::Node &root)
{
    LocalSettings local;
    reader.checkKeys(
        root, "",
        { "instance", "data_centre", "callers", "operators", "peers", "platform", "log" });
    local.instance = reader.name(root, "", "instance");
    local.dataCentre = reader.name(root, "", "data_centre");
    const YAML::Node callers = reader.section(root, "callers");
    reader.checkKeys(callers, "callers", { "listen" });
    local.callers = reader.address(callers, "callers", "listen", true);
    readOperators(reader, root, local);
    const YAML::Node peers = reader.section(root, "peers");
    reader.checkKeys(peers, "peers", { "listen", "advertise", "seeds" });
    local.peers = reader.address(peers, "peers", "listen", true);
    local.peersAdvertise = reader.address(peers, "peers", "advertise", false);
    if (local.peersAdvertise.port == 0)
        local.peersAdvertise = local.peers;
    readSeeds(reader, peers, local);
    const YAML::Node platform = reader.section(root, "platform");
    reader.checkKeys(platform, "platform", { "address" });
    local.platform = reader.address(platform, "platform", "address", true);
    readLog(reader, root, local);
    return local;
}

} // namespace

tl::expected<LocalSettings, std::vector<Fault>> LocalSettings::parse(std::string_view yaml)
{
    std::vector<Fault> faults;
    Reader reader(faults);
    YAML::Node root;
    try {
        root = YAML::Load(std::string(yaml));
    } catch (const YAML::Exception &exception) {
        reader.fault("", exception.what(), "a YAML document");
        return tl::unexpected(std::move(faults));
    }
    if (!root.IsMap()) {
        reader.fault("", "not a map", "a map with instance, data_centre, callers, operators, ...");
        return tl::unexpected(std::move(faults));
    }
    LocalSettings local = readAll(reader, root);
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return local;
}

} // namespace snipestall::entry
