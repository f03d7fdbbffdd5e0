#include "commands.hpp"

#include "report.hpp"
#include "session.hpp"

#include <boost/json.hpp>

#include <ostream>

namespace snipestall::ctl {

namespace json = boost::json;

namespace {

std::string stateOf(const admin::InstanceStatus &status)
{
    std::string state = status.draining ? "draining" : "serving";
    if (status.isSteward)
        state += ", steward";
    if (!status.platformReachable)
        state += ", platform unreachable";
    return state;
}

std::string inMilliseconds(std::chrono::milliseconds time)
{
    return std::to_string(time.count()) + "ms";
}

/// Adds one row for the instance and for each peer, backend server and queue that it reports.
void addRows(TextTable &table, const admin::InstanceStatus &status)
{
    const std::string &name = status.instance;
    table.rows.push_back({ "instance", name, status.dataCentre, stateOf(status),
                           "settings " + std::to_string(status.settingsVersion) });
    for (const admin::PeerStatus &peer : status.peers)
        table.rows.push_back({ "peer of " + name, peer.name, peer.dataCentre, peer.state,
                               "settings " + std::to_string(peer.settingsVersion) + ", silent "
                                   + inMilliseconds(peer.sinceLastReport) });
    for (const admin::BackendServerStatus &server : status.backendServers)
        table.rows.push_back({ "backend server", server.name, status.dataCentre, server.state,
                               server.service + " on " + server.instanceClass + ", "
                                   + std::to_string(server.running) + " of "
                                   + std::to_string(server.slots) + " slots" });
    for (const admin::QueueStatus &queue : status.queues)
        table.rows.push_back({ "queue of " + name, queue.service, status.dataCentre, "",
                               std::to_string(queue.waiting) + " waiting, "
                                   + std::to_string(queue.running) + " running, oldest "
                                   + inMilliseconds(queue.oldestWait) });
}

} // namespace

// Unlike the other commands, this one queries every server in --server: an operator who looks for
// the instance that misbehaves must not be shown another one in its place.
ExitCode runStatus(const Invocation &invocation)
{
    OperatorsClient client = clientFor(invocation.options);
    TextTable table { { "WHAT", "NAME", "DATA CENTRE", "STATE", "MORE" }, {} };
    json::array instances;
    json::array unreachable;
    Failure lastFailure;
    for (const wire::Endpoint &server : client.servers()) {
        const auto status = client.status(server);
        if (status) {
            addRows(table, *status);
            instances.push_back(json::parse(admin::encodeStatus(*status)));
            continue;
        }
        lastFailure = status.error();
        const std::string &why = lastFailure.refusal.error.message;
        table.rows.push_back({ "instance", server.toString(), "", "no answer", why });
        unreachable.push_back(json::object { { "server", server.toString() }, { "why", why } });
    }
    if (instances.empty())
        return report(invocation, lastFailure);
    const json::object content { { "instances", std::move(instances) },
                                 { "no_answer", std::move(unreachable) } };
    print(invocation.out, invocation.options.output, table, content);
    return ExitCode::Ok;
}

ExitCode runDrain(const Invocation &invocation)
{
    if (invocation.options.servers.size() != 1)
        return reportBadInput(invocation,
                              "drain takes exactly one --server, the instance to drain");
    OperatorsClient client = clientFor(invocation.options);
    const auto status = client.drain(invocation.options.servers.front());
    if (!status)
        return report(invocation, status.error());
    invocation.out
        << status->instance
        << " is draining: it accepts no new work and stops when its requests have ended or moved\n";
    return ExitCode::Ok;
}

} // namespace snipestall::ctl
