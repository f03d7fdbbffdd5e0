#include "harness/scenario/act_reader.hpp"

#include "harness/scenario/stage.hpp"
#include "harness/scenario/yaml_json.hpp"

#include <map>

namespace snipestall::harness {

using policy::harness::YamlFields;

namespace {

using Act = std::function<void(Stage &)>;
using ReadAct = Act (*)(const YAML::Node &node, const std::string &path, Faults &faults);

/// A name or a list of names.
std::vector<std::string> names(const YAML::Node &node, const std::string &path, Faults &faults)
{
    std::vector<std::string> all;
    if (node.IsScalar())
        return { node.Scalar() };
    for (const auto &entry : node)
        all.push_back(entry.IsScalar() ? entry.Scalar() : std::string());
    if (all.empty())
        faults.push_back({ path, "nothing", "a name or a list of names" });
    return all;
}

std::string text(const YAML::Node &map, const std::string &path, const char *key, Faults &faults)
{
    const YAML::Node node = map.IsMap() ? map[key] : YAML::Node();
    if (!node.IsDefined() || !node.IsScalar())
        faults.push_back({ path + "/" + key, "nothing", "text" });
    return node.IsDefined() && node.IsScalar() ? node.Scalar() : std::string();
}

Act forEach(std::vector<std::string> all, void (*act)(Topology &, const std::string &))
{
    return [all = std::move(all), act](Stage &stage) {
        for (const auto &name : all)
            act(stage.topology(), name);
    };
}

Act readLoad(const YAML::Node &node, const std::string &, Faults &)
{
    YAML::Emitter out;
    out << node;
    const std::string mix = out.c_str();
    return [mix](Stage &stage) { stage.startLoad(mix); };
}

/// {of: NAME or NAMES, notice: TIME}
Act readReclaim(const YAML::Node &node, const std::string &path, Faults &faults)
{
    YamlFields fields(node, path, faults);
    const auto all = names(fields.child("of"), path + "/of", faults);
    const auto notice =
        std::chrono::duration_cast<std::chrono::milliseconds>(fields.duration("notice"));
    fields.rejectOthers();
    return [all, notice](Stage &stage) {
        for (const auto &name : all)
            stage.topology().giveNotice(name, notice);
    };
}

Act readKill(const YAML::Node &node, const std::string &path, Faults &faults)
{
    return forEach(names(node, path, faults), [](Topology &topology, const std::string &name) {
        topology.process(name).kill();
    });
}

Act readStop(const YAML::Node &node, const std::string &path, Faults &faults)
{
    return forEach(names(node, path, faults), [](Topology &topology, const std::string &name) {
        topology.process(name).terminate();
    });
}

Act readFreeze(const YAML::Node &node, const std::string &path, Faults &faults)
{
    return forEach(names(node, path, faults), [](Topology &topology, const std::string &name) {
        topology.process(name).freeze();
    });
}

Act readThaw(const YAML::Node &node, const std::string &path, Faults &faults)
{
    return forEach(names(node, path, faults), [](Topology &topology, const std::string &name) {
        topology.process(name).thaw();
    });
}

Act readRestart(const YAML::Node &node, const std::string &path, Faults &faults)
{
    return forEach(names(node, path, faults),
                   [](Topology &topology, const std::string &name) { topology.restart(name); });
}

/// {proxies: NAMES, with: body of POST /faults}
Act readCut(const YAML::Node &node, const std::string &path, Faults &faults)
{
    YamlFields fields(node, path, faults);
    const auto proxies = names(fields.child("proxies"), path + "/proxies", faults);
    const std::string body = toJson(fields.child("with"));
    fields.rejectOthers();
    return [proxies, body](Stage &stage) {
        for (const auto &name : proxies)
            stage.topology().proxy(name).set(body);
    };
}

Act readHeal(const YAML::Node &node, const std::string &path, Faults &faults)
{
    return forEach(names(node, path, faults), [](Topology &topology, const std::string &name) {
        topology.proxy(name).heal();
    });
}

using PairAct = void (Topology::*)(const std::string &, const std::string &) const;

Act onPair(const YAML::Node &node, const std::string &path, Faults &faults, PairAct act)
{
    const auto pair = names(node, path, faults);
    if (pair.size() != 2) {
        faults.push_back({ path, std::to_string(pair.size()) + " names", "two data centres" });
        return {};
    }
    return [pair, act](Stage &stage) { (stage.topology().*act)(pair[0], pair[1]); };
}

Act readPartition(const YAML::Node &node, const std::string &path, Faults &faults)
{
    return onPair(node, path, faults, &Topology::cutDataCentres);
}

Act readJoin(const YAML::Node &node, const std::string &path, Faults &faults)
{
    return onPair(node, path, faults, &Topology::joinDataCentres);
}

Act readPlatform(const YAML::Node &node, const std::string &, Faults &)
{
    const std::string body = toJson(node);
    return [body](Stage &stage) { stage.topology().platformFaults(body); };
}

/// {server: NAME, with: body of POST /control}
Act readControl(const YAML::Node &node, const std::string &path, Faults &faults)
{
    const std::string server = text(node, path, "server", faults);
    const std::string body = node.IsMap() ? toJson(node["with"]) : "{}";
    return [server, body](Stage &stage) { stage.topology().controlServer(server, body); };
}

/// {via: ENTRY, path: PATH, value: YAML}
Act readSettings(const YAML::Node &node, const std::string &path, Faults &faults)
{
    const std::string entry = text(node, path, "via", faults);
    const std::string where = text(node, path, "path", faults);
    const std::string value = text(node, path, "value", faults);
    return [entry, where, value](Stage &stage) {
        stage.topology().changeSettings(entry, where, value);
    };
}

const std::map<std::string, ReadAct> Acts {
    { "load", readLoad },           { "reclaim", readReclaim },   { "kill", readKill },
    { "stop", readStop },           { "freeze", readFreeze },     { "thaw", readThaw },
    { "restart", readRestart },     { "cut", readCut },           { "heal", readHeal },
    { "partition", readPartition }, { "join", readJoin },         { "platform", readPlatform },
    { "control", readControl },     { "settings", readSettings },
};

} // namespace

Act readAct(YamlFields &step, Faults &faults)
{
    Act act;
    for (const auto &[name, read] : Acts) {
        const YAML::Node node = step.child(name);
        if (!node.IsDefined())
            continue;
        if (act)
            step.faultAt(name, "a second action", "one action in each step");
        act = read(node, step.pathOf(name), faults);
    }
    return act;
}

} // namespace snipestall::harness
