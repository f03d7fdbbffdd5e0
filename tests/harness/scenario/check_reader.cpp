#include "harness/scenario/check_reader.hpp"

#include "harness/scenario/scenario_context.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <map>

namespace snipestall::harness {

using policy::harness::YamlFields;

namespace {

namespace json = boost::json;
using ReadCheck = ProcessExpectation (*)(YamlFields &fields, const std::string &key,
                                         Faults &faults);

std::int64_t at(const json::object &report, const std::string &pointer)
{
    boost::system::error_code ec;
    const json::value whole = report;
    const json::value *found = whole.find_pointer(pointer, ec);
    return found != nullptr && found->is_number() ? found->to_number<std::int64_t>() : 0;
}

/// Returns the sum of a field over all loads; each load has a single phase, which calls snipestall.
std::int64_t total(ScenarioContext &context, const std::string &field)
{
    std::int64_t sum = 0;
    for (const auto &report : context.reports())
        sum += at(report, "/phases/0/" + field);
    return sum;
}

std::optional<std::string> checkLoadsClean(ScenarioContext &context)
{
    for (const auto &report : context.reports()) {
        if (!report.at("clean").as_bool())
            return "a guarantee was violated: " + json::serialize(report);
    }
    return std::nullopt;
}

/// Smallest share of all calls that must have completed.
ProcessExpectation readCompleted(YamlFields &fields, const std::string &key, Faults &)
{
    const double minimum = fields.number(key);
    return [minimum](ScenarioContext &context) -> std::optional<std::string> {
        const auto calls = static_cast<double>(total(context, "calls"));
        const auto completed = static_cast<double>(total(context, "outcomes/completed"));
        if (calls > 0 && completed >= minimum * calls)
            return std::nullopt;
        return "completed " + std::to_string(completed) + " of " + std::to_string(calls) + ": "
            + json::serialize(context.reports().front());
    };
}

/// Form: {OUTCOME or COUNTER: greatest number allowed}.
ProcessExpectation readAtMost(YamlFields &fields, const std::string &key, Faults &faults)
{
    std::map<std::string, std::int64_t> limits;
    for (const auto &entry : fields.child(key)) {
        const auto maximum = policy::harness::parseNumber(entry.second.Scalar());
        if (!maximum)
            faults.push_back({ fields.pathOf(key), entry.second.Scalar(), "a number" });
        limits[entry.first.Scalar()] = static_cast<std::int64_t>(maximum.value_or(0));
    }
    return [limits](ScenarioContext &context) -> std::optional<std::string> {
        for (const auto &[name, maximum] : limits) {
            const std::int64_t count = total(context, name) + total(context, "outcomes/" + name);
            if (count > maximum)
                return name + " " + std::to_string(count) + ", at most " + std::to_string(maximum)
                    + ": " + json::serialize(context.reports().front());
        }
        return std::nullopt;
    };
}

ProcessExpectation readAfterNotice(YamlFields &fields, const std::string &key, Faults &)
{
    const auto maximum = fields.duration(key);
    return [maximum](ScenarioContext &context) -> std::optional<std::string> {
        const load::Ledger ledger = context.topology().ledger();
        for (const auto &[id, attempt] : ledger.attempts()) {
            const std::chrono::milliseconds after(attempt.afterNoticeMs.value_or(0));
            if (after > maximum)
                return "attempt " + id + " arrived " + std::to_string(after.count())
                    + " ms after its server's notice";
        }
        return std::nullopt;
    };
}

/// Form: {PROCESS: status}. Each process must have ended with its status.
ProcessExpectation readExit(YamlFields &fields, const std::string &key, Faults &)
{
    std::map<std::string, int> wanted;
    for (const auto &entry : fields.child(key))
        wanted[entry.first.Scalar()] = entry.second.as<int>();
    return [wanted](ScenarioContext &context) -> std::optional<std::string> {
        for (const auto &[name, status] : wanted) {
            const auto exit = context.topology().process(name).exitStatus();
            if (exit != status)
                return name + " ended with "
                    + (exit ? std::to_string(*exit) : std::string("no status: it still runs"));
        }
        return std::nullopt;
    };
}

/// Greatest number of backend servers that may have ended.
ProcessExpectation readServersEnded(YamlFields &fields, const std::string &key, Faults &)
{
    const auto maximum = static_cast<std::ptrdiff_t>(fields.number(key));
    return [maximum](ScenarioContext &context) -> std::optional<std::string> {
        Topology &topology = context.topology();
        const auto &servers = topology.spec().servers;
        const auto ended =
            std::count_if(servers.begin(), servers.end(), [&topology](const ServerSpec &server) {
                return !topology.process(server.name).running();
            });
        if (ended <= maximum)
            return std::nullopt;
        return std::to_string(ended) + " servers ended, at most " + std::to_string(maximum);
    };
}

/// Entry instances that must answer requests for every model and service at the end.
ProcessExpectation readServes(YamlFields &fields, const std::string &key, Faults &)
{
    const auto entries = fields.texts(key);
    return [entries](ScenarioContext &context) -> std::optional<std::string> {
        for (const auto &entry : entries)
            context.topology().waitForService(entry);
        return std::nullopt;
    };
}

const std::map<std::string, ReadCheck> Checks {
    { "completed", readCompleted },
    { "at_most", readAtMost },
    { "latest_after_notice", readAfterNotice },
    { "exit", readExit },
    { "serves", readServes },
    { "servers_ended", readServersEnded },
};

} // namespace

std::vector<ProcessExpectation> readChecks(const YAML::Node &node, const std::string &path,
                                           Faults &faults)
{
    std::vector<ProcessExpectation> checks { checkLoadsClean };
    if (!node.IsDefined())
        return checks;
    YamlFields fields(node, path, faults);
    for (const auto &[name, read] : Checks) {
        if (fields.has(name))
            checks.push_back(read(fields, name, faults));
    }
    fields.rejectOthers();
    return checks;
}

} // namespace snipestall::harness
