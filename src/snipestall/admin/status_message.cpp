#include "snipestall/admin/messages.hpp"

#include "json_parts.hpp"

namespace snipestall::admin {

namespace json = boost::json;
using json::object;

namespace {

json::object writePeer(const PeerStatus &peer)
{
    return { { "name", peer.name },
             { "data_centre", peer.dataCentre },
             { "state", peer.state },
             { "settings_version", peer.settingsVersion },
             { "silent_ms", peer.sinceLastReport.count() } };
}

PeerStatus readPeer(const object &from)
{
    return { textAt(from, "name"), textAt(from, "data_centre"), textAt(from, "state"),
             numberAt(from, "settings_version"), millisecondsAt(from, "silent_ms") };
}

json::object writeServer(const BackendServerStatus &server)
{
    return { { "name", server.name },           { "service", server.service },
             { "class", server.instanceClass }, { "state", server.state },
             { "slots", server.slots },         { "running", server.running } };
}

BackendServerStatus readServer(const object &from)
{
    BackendServerStatus server;
    server.name = textAt(from, "name");
    server.service = textAt(from, "service");
    server.instanceClass = textAt(from, "class");
    server.state = textAt(from, "state");
    server.slots = static_cast<std::uint32_t>(numberAt(from, "slots"));
    server.running = static_cast<std::uint32_t>(numberAt(from, "running"));
    return server;
}

json::object writeQueue(const QueueStatus &queue)
{
    return { { "service", queue.service },
             { "waiting", queue.waiting },
             { "running", queue.running },
             { "oldest_wait_ms", queue.oldestWait.count() } };
}

QueueStatus readQueue(const object &from)
{
    QueueStatus queue;
    queue.service = textAt(from, "service");
    queue.waiting = static_cast<std::uint32_t>(numberAt(from, "waiting"));
    queue.running = static_cast<std::uint32_t>(numberAt(from, "running"));
    queue.oldestWait = millisecondsAt(from, "oldest_wait_ms");
    return queue;
}

InstanceStatus readStatus(const object &from)
{
    InstanceStatus status;
    status.instance = textAt(from, "instance");
    status.dataCentre = textAt(from, "data_centre");
    status.incarnation = numberAt(from, "incarnation");
    status.uptime = millisecondsAt(from, "up_ms");
    status.draining = flagAt(from, "draining");
    status.platformReachable = flagAt(from, "platform_reachable");
    status.isSteward = flagAt(from, "steward");
    status.settingsVersion = numberAt(from, "settings_version");
    status.peers = listAt(from, "peers", readPeer);
    status.backendServers = listAt(from, "backend_servers", readServer);
    status.queues = listAt(from, "queues", readQueue);
    return status;
}

} // namespace

std::string encodeStatus(const InstanceStatus &status)
{
    const object body { { "instance", status.instance },
                        { "data_centre", status.dataCentre },
                        { "incarnation", status.incarnation },
                        { "up_ms", status.uptime.count() },
                        { "draining", status.draining },
                        { "platform_reachable", status.platformReachable },
                        { "steward", status.isSteward },
                        { "settings_version", status.settingsVersion },
                        { "peers", arrayOf(status.peers, writePeer) },
                        { "backend_servers", arrayOf(status.backendServers, writeServer) },
                        { "queues", arrayOf(status.queues, writeQueue) } };
    return json::serialize(body);
}

Result<InstanceStatus> decodeStatus(std::string_view body)
{
    return decode(body, readStatus);
}

} // namespace snipestall::admin
