#include "soak/world.hpp"

#include "harness/http_call.hpp"
#include "harness/wait_until.hpp"

#include "snipestall/base/rendezvous.hpp"
#include "snipestall/wire/http_request.hpp"

#include <boost/beast/core/detail/base64.hpp>

#include <algorithm>
#include <iostream>
#include <stdexcept>
#include <utility>

namespace snipestall::soak {

using harness::Process;
using harness::ProcessSpec;
using std::chrono::milliseconds;

namespace {

constexpr auto Host = "127.0.0.1";
constexpr std::size_t Services = 2;
constexpr auto ServiceNames = { "ledger", "lm" };
constexpr int KilledExit = 128 + 9;
/// A store that does not answer holds up the clients of this run for so long at most.
constexpr milliseconds StoreLimit { 300 };

std::string base64(const std::string &text)
{
    namespace coding = boost::beast::detail::base64;
    std::string out(coding::encoded_size(text.size()), '\0');
    out.resize(coding::encode(out.data(), text.data(), text.size()));
    return out;
}

std::string routeText(const std::string &name, const std::string &kind, const std::string &service,
                      int attempts, bool resumable)
{
    return R"({"name":")" + name + R"(","host":"a.example","prefix":"/)" + name
        + R"(/","routeType":")" + kind + R"(","service":")" + service
        + R"(","timeoutMs":4000,"targetLatencyMs":500,"targetGapMs":400,"maxAttempts":)"
        + std::to_string(attempts) + R"(,"streamResume":)" + (resumable ? "true" : "false") + "}";
}

} // namespace

World::World(WorldSize size)
    : m_size(size)
    , m_gateways(size.gateways)
    , m_backends(size.backends * Services)
{
    startStore();
    publish();
    for (std::size_t i = 0; i < m_backends.size(); ++i) {
        m_backends[i].address = newEndpoint();
        m_backends[i].link =
            startProxy("backend-proxy-" + std::to_string(i), m_backends[i].address);
        startBackend(i);
    }
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        m_gateways[i].address = newEndpoint();
        m_gateways[i].link = startProxy("store-proxy-" + std::to_string(i), m_storeAddress);
        m_gateways[i].settings = m_directory.file("gateway-" + std::to_string(i) + ".yaml");
        harness::writeFile(m_gateways[i].settings, gatewaySettings(i, m_gateways[i].address));
        startGateway(i);
    }
}

World::~World() = default;

wire::Endpoint World::newEndpoint()
{
    return { Host, m_ports.take() };
}

wire::Endpoint World::callersOf(std::size_t gateway) const
{
    return m_gateways.at(gateway).address;
}

void World::awaitStart() const
{
    for (const Member &member : m_gateways) {
        harness::waitUntil([&member] {
            const auto answer = harness::httpGet(member.readiness, "/v1/readyz");
            return answer && answer->status == 200;
        });
    }
}

std::unique_ptr<Process> World::start(const std::string &name, const std::string &program,
                                      std::vector<std::string> arguments)
{
    auto process =
        Process::start({ name, program, std::move(arguments), m_directory.file(name + ".log") });
    if (!process)
        throw std::runtime_error(process.error().message);
    return std::move(*process);
}

World::Link World::startProxy(const std::string &name, const wire::Endpoint &target)
{
    Link link;
    link.endpoint = newEndpoint();
    const wire::Endpoint control = newEndpoint();
    link.proxy = start(name, "faultproxy",
                       { "--listen=" + link.endpoint.toString(), "--target=" + target.toString(),
                         "--control=" + control.toString() });
    link.control = std::make_unique<harness::ProxyControl>(control);
    harness::waitUntil([&] { return harness::httpGet(control, "/counters").has_value(); });
    return link;
}

void World::startStore()
{
    m_storeAddress = newEndpoint();
    m_store.process = start("store", "standin-store",
                            { "--listen=" + m_storeAddress.toString(), "--duty_log=" + dutyLog() });
    harness::waitUntil([&] {
        return harness::httpGet(m_storeAddress, "/v1/rows-get?tableName=op&part=").has_value();
    });
}

std::string World::gatewaySettings(std::size_t index, const wire::Endpoint &callers)
{
    const std::string name = "edge-" + std::to_string(index);
    m_gateways[index].readiness = newEndpoint();
    return "instance: " + name + "\ndata_centre: dc-" + std::to_string(index % 2)
        + "\naddress: " + Host + "\ncallers: " + callers.toString() + "\nreadiness: "
        + m_gateways[index].readiness.toString() + "\npeer_port: " + std::to_string(m_ports.take())
        + "\nmetrics_port: " + std::to_string(m_ports.take()) + "\nstore: "
        + m_gateways[index].link.endpoint.toString() + "\nduties: " + m_storeAddress.toString()
        + "\nserver_heartbeat_ms: 300\nlimits: {file_descriptors: 1024}\n"
          "bounds: {drain_ms: 2000, grace_s: 8, contact_ms: 3000, retry_slack: 60,"
          " usage_window_s: 2, lease_ms: 3000}\n";
}

void World::startGateway(std::size_t index)
{
    Member &member = m_gateways[index];
    ++member.starts;
    member.ending = false;
    member.process = start("gateway-" + std::to_string(index), "snipestall-gateway",
                           { "--settings=" + member.settings });
}

void World::startBackend(std::size_t index)
{
    Member &member = m_backends[index];
    if (!std::exchange(member.keepsId, false))
        ++member.starts;
    member.ending = false;
    const std::string id = "b" + std::to_string(index) + "-" + std::to_string(member.starts);
    const std::string service = *(ServiceNames.begin() + index / m_size.backends);
    member.process = start("backend-" + std::to_string(index), "standin-backend",
                           { "--id=" + id, "--service=" + service,
                             "--data_centre=dc-" + std::to_string(index % 2),
                             "--listen=" + member.address.toString(),
                             "--advertised=" + member.link.endpoint.toString(),
                             "--store=" + m_storeAddress.toString(), "--log=" + runLog() });
}

bool World::publish()
{
    std::string routes = routeText("once", "non_idempotent", "ledger", 1, false) + ","
        + routeText("safe", "idempotent", "ledger", 2, false) + ","
        + routeText("stream", "streaming", "lm", 2, true) + ","
        + routeText("solo", "streaming", "lm", 1, false);
    for (std::size_t i = 0; i < m_extraRoutes; ++i)
        routes += "," + routeText("new" + std::to_string(i), "idempotent", "ledger", 2, false);
    const std::string config = R"({"version":)" + std::to_string(m_version) + R"(,"routes":[)"
        + routes
        + R"(],"services":[{"name":"ledger"},{"name":"lm","engine":{"slotCount":16,"kvCapacity":500000}}],)"
          R"("tenants":[{"name":"harbour","apiKeys":["secret"]}]})";
    const std::string body = R"({"expectedRevision":[],"remove":[],"putEntry":[{"tableName":"op",)"
                             R"("part":"","key":"config","value":")"
        + base64(config) + "\"}]}";
    wire::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/rows-tx";
    request.body = body;
    const auto answer = harness::httpCall(m_storeAddress, std::move(request), StoreLimit);
    return answer && answer->status == 200;
}

void World::storeFaults(const std::string &body) const
{
    const auto answer = harness::httpPost(m_storeAddress, "/standin/faults", body);
    if (!answer)
        std::cerr << "the store took no fault: " << answer.error().message << '\n';
}

const std::vector<World::ActionEntry> &World::actions()
{
    using Kind = FaultKind;
    static const std::vector<ActionEntry> entries {
        { Kind::GatewayKilled, &World::killGateway, &World::restoreGateway },
        { Kind::AllGatewaysKilled, &World::killAllGateways, &World::restoreAllGateways },
        { Kind::GatewayStopped, &World::stopGateway, &World::nothing },
        { Kind::GatewayPaused, &World::pauseGateway, &World::resumeGateway },
        { Kind::BackendKilled, &World::killBackend, &World::restoreBackend },
        { Kind::BackendReborn, &World::killBackendThatKeepsItsId, &World::restoreBackend },
        { Kind::BackendLeaves, &World::backendLeaves, &World::nothing },
        { Kind::BackendPaused, &World::pauseBackend, &World::resumeBackend },
        { Kind::BackendLinkSilent, &World::silenceBackendLink, &World::healBackendLink },
        { Kind::BackendLinkOneWay, &World::dropFromBackend, &World::healBackendLink },
        { Kind::BackendLinkReset, &World::resetBackendLink, &World::nothing },
        { Kind::BackendLinkSlow, &World::slowBackendLink, &World::healBackendLink },
        { Kind::StoreLinkSilent, &World::silenceStoreLink, &World::healStoreLink },
        { Kind::StoreLinkOneWay, &World::dropFromStore, &World::healStoreLink },
        { Kind::StoreLinkReset, &World::resetStoreLink, &World::nothing },
        { Kind::StoreLinkSlow, &World::slowStoreLink, &World::healStoreLink },
        { Kind::StoreBusy, &World::makeStoreBusy, &World::healStore },
        { Kind::StoreLosesAnswers, &World::makeStoreLose, &World::healStore },
        { Kind::StorePaused, &World::pauseStore, &World::resumeStore },
        { Kind::StoreDropsHistory, &World::dropHistory, &World::nothing },
        { Kind::StoreJunk, &World::writeJunk, &World::nothing },
        { Kind::ConfigurationChanges, &World::changeConfiguration, &World::nothing },
    };
    return entries;
}

void World::begin(const Fault &fault)
{
    for (const ActionEntry &entry : actions()) {
        if (entry.kind == fault.kind)
            (this->*entry.begin)(fault);
    }
}

void World::end(const Fault &fault)
{
    for (const ActionEntry &entry : actions()) {
        if (entry.kind == fault.kind)
            (this->*entry.end)(fault);
    }
}

void World::reviveMember(Member &member, const std::string &name, std::size_t index,
                         void (World::*restart)(std::size_t))
{
    const auto status = member.process->exitStatus();
    if (!status)
        return;
    if (!member.ending && *status != KilledExit) {
        m_ends.push_back(name + "-" + std::to_string(index) + " ended by itself with "
                         + std::to_string(*status));
        member.ending = true;
    }
    if (!member.down)
        (this->*restart)(index);
}

void World::revive()
{
    for (std::size_t i = 0; i < m_gateways.size(); ++i)
        reviveMember(m_gateways[i], "gateway", i, &World::startGateway);
    if (m_added.size() < m_extraRoutes && publish())
        m_added.resize(m_extraRoutes, std::chrono::steady_clock::now());
    for (std::size_t i = 0; i < m_backends.size(); ++i)
        reviveMember(m_backends[i], "backend", i, &World::startBackend);
}

void World::killGateway(const Fault &fault)
{
    gateway(fault).down = true;
    gateway(fault).ending = true;
    gateway(fault).process->kill();
}

void World::restoreGateway(const Fault &fault)
{
    gateway(fault).down = false;
}

void World::killAllGateways(const Fault &)
{
    for (Member &member : m_gateways) {
        member.down = true;
        member.ending = true;
        member.process->kill();
    }
}

void World::restoreAllGateways(const Fault &)
{
    for (Member &member : m_gateways)
        member.down = false;
}

void World::stopGateway(const Fault &fault)
{
    gateway(fault).ending = true;
    gateway(fault).process->terminate();
}

void World::pause(Member &member)
{
    if (member.pauses++ == 0)
        member.process->freeze();
}

void World::resume(Member &member)
{
    if (--member.pauses == 0)
        member.process->thaw();
}

void World::pauseGateway(const Fault &fault)
{
    pause(gateway(fault));
}

void World::resumeGateway(const Fault &fault)
{
    resume(gateway(fault));
}

void World::killBackend(const Fault &fault)
{
    backend(fault).down = true;
    backend(fault).ending = true;
    backend(fault).process->kill();
}

void World::killBackendThatKeepsItsId(const Fault &fault)
{
    backend(fault).keepsId = true;
    killBackend(fault);
}

void World::restoreBackend(const Fault &fault)
{
    backend(fault).down = false;
}

void World::backendLeaves(const Fault &fault)
{
    backend(fault).ending = true;
    backend(fault).process->terminate();
}

void World::pauseBackend(const Fault &fault)
{
    pause(backend(fault));
}

void World::resumeBackend(const Fault &fault)
{
    resume(backend(fault));
}

void World::silenceBackendLink(const Fault &fault)
{
    backend(fault).link.control->drop();
}

void World::dropFromBackend(const Fault &fault)
{
    backend(fault).link.control->set(R"({"drop":"to_client"})");
}

void World::resetBackendLink(const Fault &fault)
{
    backend(fault).link.control->cutAll();
}

void World::slowBackendLink(const Fault &fault)
{
    backend(fault).link.control->set(R"({"delay_ms":60})");
}

void World::healBackendLink(const Fault &fault)
{
    backend(fault).link.control->heal();
}

void World::silenceStoreLink(const Fault &fault)
{
    gateway(fault).link.control->drop();
}

void World::dropFromStore(const Fault &fault)
{
    gateway(fault).link.control->set(R"({"drop":"to_client"})");
}

void World::resetStoreLink(const Fault &fault)
{
    gateway(fault).link.control->cutAll();
}

void World::slowStoreLink(const Fault &fault)
{
    gateway(fault).link.control->set(R"({"delay_ms":120})");
}

void World::healStoreLink(const Fault &fault)
{
    gateway(fault).link.control->heal();
}

void World::makeStoreBusy(const Fault &)
{
    storeFaults(R"({"status":503})");
}

void World::makeStoreLose(const Fault &)
{
    storeFaults(R"({"lose_every":3})");
}

void World::healStore(const Fault &)
{
    storeFaults(R"({"status":0,"lose_every":0})");
}

void World::pauseStore(const Fault &)
{
    pause(m_store);
}

void World::resumeStore(const Fault &)
{
    resume(m_store);
}

void World::dropHistory(const Fault &)
{
    storeFaults(R"({"drop_history":true})");
}

void World::writeJunk(const Fault &fault)
{
    storeFaults(R"({"junk":)" + std::to_string(fault.target) + "}");
}

void World::changeConfiguration(const Fault &)
{
    ++m_extraRoutes;
    m_version += 3;
}

void World::nothing(const Fault &) { }

} // namespace snipestall::soak
