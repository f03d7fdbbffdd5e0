#include "harness/scenario/check_reader.hpp"

#include "harness/scenario/stage.hpp"

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

/// Sum over all loads; each has the one phase through snipestall.
std::int64_t total(Stage &stage, const std::string &field)
{
    std::int64_t sum = 0;
    for (const auto &report : stage.reports())
        sum += at(report, "/phases/0/" + field);
    return sum;
}

std::optional<std::string> cleanLoads(Stage &stage)
{
    for (const auto &report : stage.reports()) {
        if (!report.at("clean").as_bool())
            return "a promise was broken: " + json::serialize(report);
    }
    return std::nullopt;
}

/// Part of all calls that must have completed.
ProcessExpectation readCompleted(YamlFields &fields, const std::string &key, Faults &)
{
    const double least = fields.number(key);
    return [least](Stage &stage) -> std::optional<std::string> {
        const auto calls = static_cast<double>(total(stage, "calls"));
        const auto completed = static_cast<double>(total(stage, "outcomes/completed"));
        if (calls > 0 && completed >= least * calls)
            return std::nullopt;
        return "completed " + std::to_string(completed) + " of " + std::to_string(calls) + ": "
            + json::serialize(stage.reports().front());
    };
}

/// {OUTCOME or COUNTER: greatest number allowed}
ProcessExpectation readAtMost(YamlFields &fields, const std::string &key, Faults &faults)
{
    std::map<std::string, std::int64_t> limits;
    for (const auto &entry : fields.child(key)) {
        const auto most = policy::harness::parseNumber(entry.second.Scalar());
        if (!most)
            faults.push_back({ fields.pathOf(key), entry.second.Scalar(), "a number" });
        limits[entry.first.Scalar()] = static_cast<std::int64_t>(most.value_or(0));
    }
    return [limits](Stage &stage) -> std::optional<std::string> {
        for (const auto &[name, most] : limits) {
            const std::int64_t count = total(stage, name) + total(stage, "outcomes/" + name);
            if (count > most)
                return name + " " + std::to_string(count) + ", at most " + std::to_string(most)
                    + ": " + json::serialize(stage.reports().front());
        }
        return std::nullopt;
    };
}

ProcessExpectation readAfterNotice(YamlFields &fields, const std::string &key, Faults &)
{
    const auto most = fields.duration(key);
    return [most](Stage &stage) -> std::optional<std::string> {
        const load::Ledger ledger = stage.topology().ledger();
        for (const auto &[id, attempt] : ledger.attempts()) {
            const std::chrono::milliseconds after(attempt.afterNoticeMs.value_or(0));
            if (after > most)
                return "attempt " + id + " came " + std::to_string(after.count())
                    + " ms after its server's notice";
        }
        return std::nullopt;
    };
}

/// {PROCESS: status}: each has ended with it.
ProcessExpectation readExit(YamlFields &fields, const std::string &key, Faults &)
{
    std::map<std::string, int> wanted;
    for (const auto &entry : fields.child(key))
        wanted[entry.first.Scalar()] = entry.second.as<int>();
    return [wanted](Stage &stage) -> std::optional<std::string> {
        for (const auto &[name, status] : wanted) {
            const auto exit = stage.topology().process(name).exitStatus();
            if (exit != status)
                return name + " ended with "
                    + (exit ? std::to_string(*exit) : std::string("nothing: it runs"));
        }
        return std::nullopt;
    };
}

/// Backend servers that do not run any more, at most.
ProcessExpectation readServersEnded(YamlFields &fields, const std::string &key, Faults &)
{
    const auto most = static_cast<std::ptrdiff_t>(fields.number(key));
    return [most](Stage &stage) -> std::optional<std::string> {
        Topology &topology = stage.topology();
        const auto &servers = topology.spec().servers;
        const auto ended =
            std::count_if(servers.begin(), servers.end(), [&topology](const ServerSpec &server) {
                return !topology.process(server.name).running();
            });
        if (ended <= most)
            return std::nullopt;
        return std::to_string(ended) + " servers ended, at most " + std::to_string(most);
    };
}

/// At the end each of these entry instances answers every model and service.
ProcessExpectation readServes(YamlFields &fields, const std::string &key, Faults &)
{
    const auto entries = fields.texts(key);
    return [entries](Stage &stage) -> std::optional<std::string> {
        for (const auto &entry : entries)
            stage.topology().waitForService(entry);
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
    std::vector<ProcessExpectation> checks { cleanLoads };
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
