#include "harness/scenario/condition_reader.hpp"

#include "harness/scenario/scenario_context.hpp"

#include <map>

namespace snipestall::harness {

using policy::harness::YamlFields;

namespace {

using ReadCondition = StepCondition (*)(const YAML::Node &node, const std::string &path,
                                        Faults &faults);

std::size_t count(const YAML::Node &node, const std::string &path, Faults &faults)
{
    const auto value = policy::harness::parseNumber(node.IsScalar() ? node.Scalar() : "");
    if (!value)
        faults.push_back({ path, "no number", "a count such as 5" });
    return static_cast<std::size_t>(value.value_or(0));
}

std::string word(const YAML::Node &node, const std::string &path, Faults &faults)
{
    if (!node.IsDefined() || !node.IsScalar())
        faults.push_back({ path, "no text", "a name" });
    return node.IsDefined() && node.IsScalar() ? node.Scalar() : std::string();
}

/// Form: a count, or {on: SERVER, least: COUNT}.
StepCondition readRunning(const YAML::Node &node, const std::string &path, Faults &faults)
{
    std::string server;
    if (node.IsMap())
        server = word(node["on"], path + "/on", faults);
    const std::size_t minimum =
        node.IsMap() ? count(node["least"], path + "/least", faults) : count(node, path, faults);
    return [server, minimum](const ScenarioContext &context) {
        return context.attemptsRunning(server) >= minimum;
    };
}

StepCondition readAttempts(const YAML::Node &node, const std::string &path, Faults &faults)
{
    const std::size_t minimum = count(node, path, faults);
    return [minimum](const ScenarioContext &context) {
        return context.topology().ledger().attempts().size() >= minimum;
    };
}

StepCondition readRuns(const YAML::Node &node, const std::string &path, Faults &faults)
{
    const std::size_t minimum = count(node, path, faults);
    return [minimum](const ScenarioContext &context) {
        return context.topology().ledger().runs().size() >= minimum;
    };
}

StepCondition readLoadEnded(const YAML::Node &, const std::string &, Faults &)
{
    return [](const ScenarioContext &context) { return context.loadsEnded(); };
}

StepCondition readEnded(const YAML::Node &node, const std::string &path, Faults &faults)
{
    const std::string name = word(node, path, faults);
    return [name](const ScenarioContext &context) {
        return !context.topology().process(name).running();
    };
}

/// Form: {of: ENTRY, by: ENTRY, is: up, suspected or leaving}.
StepCondition readPeer(const YAML::Node &node, const std::string &path, Faults &faults)
{
    const std::string of = word(node["of"], path + "/of", faults);
    const std::string by = word(node["by"], path + "/by", faults);
    const std::string state = word(node["is"], path + "/is", faults);
    return [of, by, state](const ScenarioContext &context) {
        return context.peerState(of, by) == state;
    };
}

/// Form: {at: ENTRY, version: NUMBER}.
StepCondition readVersion(const YAML::Node &node, const std::string &path, Faults &faults)
{
    const std::string entry = word(node["at"], path + "/at", faults);
    const std::size_t version = count(node["version"], path + "/version", faults);
    return [entry, version](const ScenarioContext &context) {
        const auto status = context.topology().status(entry);
        return status && status->settingsVersion >= version;
    };
}

StepCondition readSteward(const YAML::Node &node, const std::string &path, Faults &faults)
{
    const std::string entry = word(node, path, faults);
    return [entry](const ScenarioContext &context) {
        const auto status = context.topology().status(entry);
        return status && status->isSteward;
    };
}

const std::map<std::string, ReadCondition> Conditions {
    { "attempts", readAttempts },    { "runs", readRuns },       { "running", readRunning },
    { "load_ended", readLoadEnded }, { "ended", readEnded },     { "peer", readPeer },
    { "settings", readVersion },     { "steward", readSteward },
};

} // namespace

std::vector<StepCondition> readConditions(YamlFields &step, Faults &faults)
{
    std::vector<StepCondition> conditions;
    if (step.has("at")) {
        const auto at = step.duration("at");
        conditions.push_back(
            [at](const ScenarioContext &context) { return context.elapsed() >= at; });
    }
    const YAML::Node when = step.child("when");
    if (!when.IsDefined())
        return conditions;
    YamlFields fields(when, step.pathOf("when"), faults);
    for (const auto &[name, read] : Conditions) {
        const YAML::Node node = fields.child(name);
        if (node.IsDefined())
            conditions.push_back(read(node, fields.pathOf(name), faults));
    }
    fields.rejectOthers();
    return conditions;
}

} // namespace snipestall::harness
