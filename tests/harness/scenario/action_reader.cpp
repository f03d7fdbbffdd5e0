#include "harness/scenario/action_reader.hpp"

#include "harness/scenario/scenario_context.hpp"
#include "harness/scenario/yaml_json.hpp"

#include <map>

namespace snipestall::harness {

using policy::harness::YamlFields;

namespace {

using Action = std::function<void(ScenarioContext &)>;
using ReadAction = Action (*)(const YAML::Node &node, const std::string &path, Faults &faults);

/// Reads a name or a list of names.
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

Action forEach(std::vector<std::string> all, void (*action)(Topology &, const std::string &))
{
    return [all = std::move(all), action](ScenarioContext &context) {
        for (const auto &name : all)
            action(context.topology(), name);
    };
}

Action readLoad(const YAML::Node &node, const std::string &, Faults &)
{
    YAML::Emitter out;
    out << node;
    const std::string mix = out.c_str();
    return [mix](ScenarioContext &context) { context.startLoad(mix); };
}

/// Form: {of: NAME or NAMES, notice: TIME}
Action readReclaim(const YAML::Node &node, const std::string &path, Faults &faults)
{
    YamlFields fields(node, path, faults);
    const auto all = names(fields.child("of"), path + "/of", faults);
    const auto notice =
        std::chrono::duration_cast<std::chrono::milliseconds>(fields.duration("notice"));
    fields.rejectOthers();
    return [all, notice](ScenarioContext &context) {
        for (const auto &name : all)
            context.topology().giveNotice(name, notice);
    };
}

Action readKill(const YAML::Node &node, const std::string &path, Faults &faults)
{
    return forEach(names(node, path, faults), [](Topology &topology, const std::string &name) {
        topology.process(name).kill();
    });
}

Action readStop(const YAML::Node &node, const std::string &path, Faults &faults)
{
    return forEach(names(node, path, faults), [](Topology &topology, const std::string &name) {
        topology.process(name).terminate();
    });
}

Action readFreeze(const YAML::Node &node, const std::string &path, Faults &faults)
{
    return forEach(names(node, path, faults), [](Topology &topology, const std::string &name) {
        topology.process(name).freeze();
    });
}

Action readThaw(const YAML::Node &node, const std::string &path, Faults &faults)
{
    return forEach(names(node, path, faults), [](Topology &topology, const std::string &name) {
        topology.process(name).thaw();
    });
}

Action readRestart(const YAML::Node &node, const std::string &path, Faults &faults)
{
    return forEach(names(node, path, faults),
                   [](Topology &topology, const std::string &name) { topology.restart(name); });
}

/// Form: {proxies: NAMES, with: body of POST /faults}
Action readCut(const YAML::Node &node, const std::string &path, Faults &faults)
{
    YamlFields fields(node, path, faults);
    const auto proxies = names(fields.child("proxies"), path + "/proxies", faults);
    const std::string body = toJson(fields.child("with"));
    fields.rejectOthers();
    return [proxies, body](ScenarioContext &context) {
        for (const auto &name : proxies)
            context.topology().proxy(name).set(body);
    };
}

Action readHeal(const YAML::Node &node, const std::string &path, Faults &faults)
{
    return forEach(names(node, path, faults), [](Topology &topology, const std::string &name) {
        topology.proxy(name).heal();
    });
}

using PairAction = void (Topology::*)(const std::string &, const std::string &) const;

Action onPair(const YAML::Node &node, const std::string &path, Faults &faults, PairAction action)
{
    const auto pair = names(node, path, faults);
    if (pair.size() != 2) {
        faults.push_back({ path, std::to_string(pair.size()) + " names", "two data centres" });
        return {};
    }
    return [pair, action](ScenarioContext &context) {
        (context.topology().*action)(pair[0], pair[1]);
    };
}

Action readPartition(const YAML::Node &node, const std::string &path, Faults &faults)
{
    return onPair(node, path, faults, &Topology::cutDataCentres);
}

Action readJoin(const YAML::Node &node, const std::string &path, Faults &faults)
{
    return onPair(node, path, faults, &Topology::reconnectDataCentres);
}

Action readPlatform(const YAML::Node &node, const std::string &, Faults &)
{
    const std::string body = toJson(node);
    return [body](ScenarioContext &context) { context.topology().setPlatformFaults(body); };
}

/// Form: {server: NAME, with: body of POST /control}
Action readControl(const YAML::Node &node, const std::string &path, Faults &faults)
{
    const std::string server = text(node, path, "server", faults);
    const std::string body = node.IsMap() ? toJson(node["with"]) : "{}";
    return [server, body](ScenarioContext &context) {
        context.topology().controlServer(server, body);
    };
}

/// Form: {via: ENTRY, path: PATH, value: YAML}
Action readSettings(const YAML::Node &node, const std::string &path, Faults &faults)
{
    const std::string entry = text(node, path, "via", faults);
    const std::string where = text(node, path, "path", faults);
    const std::string value = text(node, path, "value", faults);
    return [entry, where, value](ScenarioContext &context) {
        context.topology().changeSettings(entry, where, value);
    };
}

const std::map<std::string, ReadAction> Actions {
    { "load", readLoad },           { "reclaim", readReclaim },   { "kill", readKill },
    { "stop", readStop },           { "freeze", readFreeze },     { "thaw", readThaw },
    { "restart", readRestart },     { "cut", readCut },           { "heal", readHeal },
    { "partition", readPartition }, { "join", readJoin },         { "platform", readPlatform },
    { "control", readControl },     { "settings", readSettings },
};

} // namespace

Action readAction(YamlFields &step, Faults &faults)
{
    Action action;
    for (const auto &[name, read] : Actions) {
        const YAML::Node node = step.child(name);
        if (!node.IsDefined())
            continue;
        if (action)
            step.faultAt(name, "a second action", "one action in each step");
        action = read(node, step.pathOf(name), faults);
    }
    return action;
}

} // namespace snipestall::harness
