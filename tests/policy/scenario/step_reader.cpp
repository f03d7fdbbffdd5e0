#include "policy/scenario/step_reader.hpp"

#include "policy/scenario/stage.hpp"

#include <map>
#include <utility>

namespace snipestall::policy::harness {

namespace {

using Action = std::function<void(Stage &)>;
using ReadAction = Action (*)(YamlFields &fields, Faults &faults);

RequestKind readKind(const YAML::Node &node, const std::string &path, Urgency urgency,
                     Faults &faults)
{
    YamlFields fields(node, path, faults);
    RequestKind kind { .name = toString(urgency), .urgency = urgency };
    kind.weight = fields.number("weight");
    kind.promptTokens = static_cast<std::uint32_t>(fields.number("prompt"));
    kind.templateTokens = static_cast<std::uint32_t>(fields.number("template", 0));
    kind.outputTokens = static_cast<std::uint32_t>(fields.number("output"));
    kind.deadline =
        std::chrono::duration_cast<std::chrono::milliseconds>(fields.duration("deadline"));
    fields.rejectOthers();
    return kind;
}

std::vector<RequestKind> readKinds(const YAML::Node &node, const std::string &path, Faults &faults)
{
    std::vector<RequestKind> kinds;
    if (!node.IsDefined()) {
        return kinds;
    }
    YamlFields fields(node, path, faults);
    for (const auto urgency : { Urgency::Urgent, Urgency::Normal, Urgency::Patient }) {
        const auto name = toString(urgency);
        if (const auto child = fields.child(name); child.IsDefined()) {
            kinds.push_back(readKind(child, fields.pathOf(name), urgency, faults));
        }
    }
    fields.rejectOthers();
    return kinds;
}

Action readLoad(YamlFields &fields, Faults &faults)
{
    Load load;
    load.level = fields.number("level");
    load.plainLevel = fields.number("plain_level", load.plainLevel);
    load.hotPrefix = fields.number("hot_prefix", 0);
    load.ignoreRetryAfter = fields.number("ignore_retry_after", 0);
    load.tries = static_cast<std::uint32_t>(fields.number("tries", 1));
    if (fields.has("patience")) {
        load.patience = fields.duration("patience");
    }
    load.kinds = readKinds(fields.child("kinds"), fields.pathOf("kinds"), faults);
    const double largest = fields.number("largest_customer", 0);
    return [load, largest](Stage &stage) mutable {
        if (largest > 0) {
            load.customerShare[stage.largestCustomer()] = largest;
        }
        stage.setLoad(load);
    };
}

Action readReclaim(YamlFields &fields, Faults &)
{
    const auto notice = fields.duration("notice");
    if (fields.has("data_centre")) {
        const auto number = static_cast<std::size_t>(fields.number("data_centre"));
        return [number, notice](Stage &stage) { stage.reclaimDataCentre(number, notice); };
    }
    const double fraction = fields.number("part");
    return [fraction, notice](Stage &stage) { stage.reclaimFraction(fraction, notice); };
}

Action readSlow(YamlFields &fields, Faults &)
{
    const auto servers = static_cast<std::size_t>(fields.number("servers"));
    const double factor = fields.number("factor");
    const auto length = fields.duration("for");
    return [servers, factor, length](Stage &stage) { stage.slow(servers, factor, length); };
}

Action readFailFast(YamlFields &fields, Faults &)
{
    const auto servers = static_cast<std::size_t>(fields.number("servers"));
    const auto length = fields.duration("for");
    return [servers, length](Stage &stage) { stage.failFast(servers, length); };
}

Action readRefuseStarts(YamlFields &fields, Faults &)
{
    const auto length = fields.duration("for");
    return [length](Stage &stage) { stage.refuseStarts(length); };
}

Action readReportLag(YamlFields &fields, Faults &)
{
    const auto lag = fields.duration("lag");
    return [lag](Stage &stage) { stage.setReportLag(lag); };
}

Action readSettings(YamlFields &fields, Faults &)
{
    const double rate = fields.number("largest_customer_requests_per_second");
    return [rate](Stage &stage) { stage.limitLargestCustomer(rate); };
}

Action readCrasher(YamlFields &fields, Faults &)
{
    const auto tries = static_cast<std::uint32_t>(fields.number("tries"));
    return [tries](Stage &stage) { stage.submitCrasher(tries); };
}

const std::map<std::string, ReadAction> Actions {
    { "load", readLoad },
    { "reclaim", readReclaim },
    { "slow", readSlow },
    { "fail_fast", readFailFast },
    { "refuse_starts", readRefuseStarts },
    { "report_lag", readReportLag },
    { "settings", readSettings },
    { "crasher", readCrasher },
};

ScenarioStep readStep(const YAML::Node &node, const std::string &path, Faults &faults)
{
    YamlFields fields(node, path, faults);
    ScenarioStep step;
    step.at = Time { fields.duration("at") };
    for (const auto &[name, read] : Actions) {
        const auto child = fields.child(name);
        if (!child.IsDefined()) {
            continue;
        }
        if (step.action) {
            fields.faultAt(name, "a second action", "one action in each step");
        }
        YamlFields arguments(child, fields.pathOf(name), faults);
        step.action = read(arguments, faults);
        arguments.rejectOthers();
    }
    if (!step.action) {
        fields.faultAt("", "no action", "one action in each step");
    }
    fields.rejectOthers();
    return step;
}

} // namespace

std::vector<ScenarioStep> readSteps(const YAML::Node &node, const std::string &path, Faults &faults)
{
    std::vector<ScenarioStep> steps;
    if (!node.IsSequence() || node.size() == 0) {
        faults.push_back({ path, "nothing", "a list of steps" });
        return steps;
    }
    for (std::size_t i = 0; i < node.size(); ++i) {
        steps.push_back(readStep(node[i], path + "/" + std::to_string(i), faults));
    }
    return steps;
}

} // namespace snipestall::policy::harness
