#include "harness/topology.hpp"

#include "harness/settings_text.hpp"
#include "harness/wait_until.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace snipestall::harness {

namespace {

constexpr auto Loopback = "127.0.0.1";

wire::Endpoint loopback(std::uint16_t port)
{
    return { Loopback, port };
}

std::string address(std::uint16_t port)
{
    return loopback(port).toString();
}

bool listens(const wire::Endpoint &endpoint)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(endpoint.host);
    socket.connect({ ip, endpoint.port }, ec);
    return !ec;
}

} // namespace

Topology::Topology(TopologySpec spec)
    : m_spec(std::move(spec))
{
    if (m_spec.settings.empty())
        m_spec.settings = defaultSettings(m_spec);
}

Topology::~Topology() = default;

Result<std::unique_ptr<Topology>> Topology::start(TopologySpec spec)
{
    std::unique_ptr<Topology> topology(new Topology(std::move(spec)));
    topology->allocatePorts();
    topology->buildProcessSpecs();
    try {
        const std::vector<ProcessSpec> specs = topology->m_processSpecs;
        for (const auto &process : specs)
            topology->startProcess(process.name);
    } catch (const std::runtime_error &error) {
        return fail(ErrorKind::Unavailable, error.what());
    }
    return topology;
}

void Topology::allocatePorts()
{
    m_platformPort = m_ports.take();
    for (const auto &dataCentre : m_spec.dataCentres()) {
        if (m_spec.platformProxied)
            allocateProxy("platform/" + dataCentre, m_platformPort);
    }
    for (const auto &entry : m_spec.entries) {
        const Addresses own { m_ports.take(), m_ports.take(), m_ports.take() };
        m_entries[entry.name] = own;
        if (m_spec.peersProxied)
            allocateProxy("peers/" + entry.name, own.peers);
        if (m_spec.callersProxied)
            allocateProxy("callers/" + entry.name, own.callers);
    }
    for (const auto &dataCentre : m_spec.dataCentres())
        allocateLinkProxies(dataCentre);
    for (const auto &server : m_spec.servers) {
        m_servers[server.name] = m_ports.take();
        if (m_spec.serversProxied)
            allocateProxy("server/" + server.name, m_servers[server.name]);
    }
}

void Topology::allocateLinkProxies(const std::string &from)
{
    for (const auto &entry : m_spec.entries) {
        if (m_spec.linksProxied && entry.dataCentre != from)
            allocateProxy("link/" + from + "/" + entry.name, m_entries.at(entry.name).peers);
    }
}

void Topology::allocateProxy(const std::string &name, std::uint16_t target)
{
    m_proxies[name] = { m_ports.take(), m_ports.take(), target };
}

// Proxies are started before the processes behind them, because those processes are reached through
// them from the start.
void Topology::buildProcessSpecs()
{
    ProcessSpec platform { "platform", "standin-platform", m_spec.platformArguments, {} };
    platform.arguments.push_back("--listen=" + address(m_platformPort));
    m_processSpecs.push_back(std::move(platform));
    for (const auto &[name, ports] : m_proxies)
        m_processSpecs.push_back(proxyProcess(name));
    for (const auto &entry : m_spec.entries)
        m_processSpecs.push_back(entryProcess(entry));
    for (const auto &server : m_spec.servers)
        m_processSpecs.push_back(serverProcess(server));
    for (auto &process : m_processSpecs) {
        std::string file = process.name;
        std::replace(file.begin(), file.end(), '/', '-');
        process.logFile = m_directory.file(file + ".log");
    }
}

ProcessSpec Topology::proxyProcess(const std::string &name) const
{
    const ProxyPorts &ports = m_proxies.at(name);
    return { "proxy:" + name,
             "faultproxy",
             { "--listen=" + address(ports.listen), "--target=" + address(ports.target),
               "--control=" + address(ports.control) },
             {} };
}

ProcessSpec Topology::entryProcess(const EntrySpec &entry)
{
    const std::string file = m_directory.file(entry.name + ".yaml");
    writeFile(file, entrySettings(entry));
    return { entry.name, "snipestalld", { "--settings=" + file }, {} };
}

std::string Topology::entrySettings(const EntrySpec &entry) const
{
    const Addresses &own = m_entries.at(entry.name);
    const std::uint16_t platform = outerPort("platform/" + entry.dataCentre, m_platformPort);
    std::ostringstream out;
    out << "instance: " << entry.name << "\ndata_centre: " << entry.dataCentre
        << "\ncallers: {listen: '" << address(own.callers) << "'}"
        << "\noperators: {listen: '" << address(own.operators)
        << "', bootstrap_key_sha256: " << sha256(BootstrapKey) << "}"
        << "\nplatform: {address: '" << address(platform) << "'}"
        << "\nlog: {format: text, level: debug}\npeers:\n  listen: '" << address(own.peers)
        << "'\n  advertise: '" << address(outerPort("peers/" + entry.name, own.peers))
        << "'\n  seeds:\n";
    for (const auto &other : m_spec.entries) {
        const std::uint16_t near = outerPort("peers/" + other.name, m_entries.at(other.name).peers);
        const std::uint16_t port = outerPort("link/" + entry.dataCentre + "/" + other.name, near);
        if (other.name != entry.name)
            out << "    - {instance: " << other.name << ", data_centre: " << other.dataCentre
                << ", address: '" << address(port) << "'}\n";
    }
    return out.str();
}

ProcessSpec Topology::serverProcess(const ServerSpec &server) const
{
    const std::uint16_t port = m_servers.at(server.name);
    const std::uint16_t outer = outerPort("server/" + server.name, port);
    const bool engine = !server.models.empty();
    ProcessSpec process {
        server.name, engine ? "standin-engine" : "standin-service", server.arguments, {}
    };
    auto &arguments = process.arguments;
    arguments.push_back("--listen=" + address(port));
    arguments.push_back("--advertise=" + address(outer));
    arguments.push_back("--platform=" + address(m_platformPort));
    arguments.push_back("--name=" + server.name);
    arguments.push_back("--data_centre=" + server.dataCentre);
    arguments.push_back("--service=" + server.service);
    arguments.push_back("--class=" + server.instanceClass);
    const std::string records = engine ? "--attempts_file=" : "--runs_file=";
    arguments.push_back(records + ledgerFile(server.name));
    std::string models;
    for (const auto &model : server.models)
        models += (models.empty() ? "" : ",") + model;
    if (engine)
        arguments.push_back("--models=" + models);
    return process;
}

std::string Topology::ledgerFile(const std::string &server) const
{
    return m_directory.file(server + ".ledger");
}

std::uint16_t Topology::outerPort(const std::string &proxy, std::uint16_t inner) const
{
    const auto found = m_proxies.find(proxy);
    return found == m_proxies.end() ? inner : found->second.listen;
}

void Topology::startProcess(const std::string &name)
{
    const auto spec = std::find_if(m_processSpecs.begin(), m_processSpecs.end(),
                                   [&name](const auto &process) { return process.name == name; });
    if (spec == m_processSpecs.end())
        throw std::runtime_error("no process " + name + " in this topology");
    auto process = Process::start(*spec);
    if (!process)
        throw std::runtime_error(process.error().message);
    m_processes[name] = std::move(*process);
    waitForPort(firstEndpoint(name));
}

wire::Endpoint Topology::firstEndpoint(const std::string &name) const
{
    constexpr std::string_view ProxyPrefix = "proxy:";
    if (name == "platform")
        return platform();
    if (name.starts_with(ProxyPrefix))
        return loopback(m_proxies.at(name.substr(ProxyPrefix.size())).control);
    const auto entry = m_entries.find(name);
    if (entry != m_entries.end())
        return loopback(entry->second.operators);
    return loopback(m_servers.at(name));
}

void Topology::waitForPort(const wire::Endpoint &endpoint)
{
    if (!waitUntil([&endpoint] { return listens(endpoint); }))
        throw std::runtime_error("no process listens on " + endpoint.toString() + "\n" + logs());
}

Process &Topology::process(const std::string &name)
{
    const auto found = m_processes.find(name);
    if (found == m_processes.end())
        throw std::runtime_error("no process " + name + " in this topology");
    return *found->second;
}

void Topology::restart(const std::string &name)
{
    if (process(name).running())
        throw std::runtime_error(name + " is still running");
    startProcess(name);
}

wire::Endpoint Topology::platform() const
{
    return loopback(m_platformPort);
}

wire::Endpoint Topology::callers(const std::string &entry) const
{
    return loopback(outerPort("callers/" + entry, m_entries.at(entry).callers));
}

wire::Endpoint Topology::operators(const std::string &entry) const
{
    return loopback(m_entries.at(entry).operators);
}

wire::Endpoint Topology::server(const std::string &name) const
{
    return loopback(outerPort("server/" + name, m_servers.at(name)));
}

ProxyControl Topology::proxy(const std::string &name) const
{
    const auto found = m_proxies.find(name);
    if (found == m_proxies.end())
        throw std::runtime_error("no proxy " + name + " in this topology");
    return ProxyControl(loopback(found->second.control));
}

} // namespace snipestall::harness
