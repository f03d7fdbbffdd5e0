#pragma once

#include "harness/port_pool.hpp"
#include "harness/process.hpp"
#include "harness/proxy_control.hpp"
#include "harness/temp_dir.hpp"
#include "harness/topology_spec.hpp"

#include "ledger.hpp"

#include "snipestall/admin/instance_status.hpp"
#include "snipestall/base/result.hpp"
#include "snipestall/wire/endpoint.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::harness {

/// A whole deployment of real processes on loopback: platform, entry instances, backend servers and
/// proxies. Operations that fail throw std::runtime_error and so fail the test.
class Topology
{
public:
    /// Starts all processes and returns once each of them listens. Settings are not applied yet.
    static Result<std::unique_ptr<Topology>> start(TopologySpec spec);
    ~Topology();

    // Addresses. For callers and servers it is the address of the proxy if there is one.
    [[nodiscard]] wire::Endpoint platform() const;
    [[nodiscard]] wire::Endpoint callers(const std::string &entry) const;
    [[nodiscard]] wire::Endpoint operators(const std::string &entry) const;
    [[nodiscard]] wire::Endpoint server(const std::string &name) const;
    /// Proxy with the name `platform/<data centre>`, `peers/<entry>`, `link/<data centre>/<entry>`,
    /// `callers/<entry>` or `server/<name>`.
    [[nodiscard]] ProxyControl proxy(const std::string &name) const;

    /// Drops every byte between the entry instances of two data centres; needs `linksProxied`. A
    /// data centre knows the other's addresses from its seeds alone, so all traffic is cut.
    void cutDataCentres(const std::string &one, const std::string &other) const;
    void reconnectDataCentres(const std::string &one, const std::string &other) const;

    /// Returns the process with this name: a name in the spec, `platform` or `proxy:<name>`.
    Process &process(const std::string &name);
    /// Restarts a process that has ended, at the same addresses.
    void restart(const std::string &name);
    void waitForPort(const wire::Endpoint &endpoint);

    /// Applies the spec's settings and waits until every entry instance serves with them.
    void applySettings();
    /// Makes one change to the current version and returns the resulting version.
    std::uint64_t changeSettings(const std::string &entry, const std::string &path,
                                 const std::string &value);
    [[nodiscard]] std::optional<admin::InstanceStatus> status(const std::string &entry) const;
    /// Waits until the owner of every backend server reports the server as up.
    void waitForServers();
    /// Waits until each entry instance answers an idempotent probe of every model and service. This
    /// is necessary because owners report their servers to other instances only with the next
    /// summaries. The ledgers contain the probes too, without an idempotency key.
    void waitForService();
    void waitForService(const std::string &entry);

    void setPlatformFaults(const std::string &faults) const;
    [[nodiscard]] std::int64_t platformCounter(const std::string &name) const;
    void giveNotice(const std::string &name, std::chrono::milliseconds notice) const;
    void controlServer(const std::string &name, const std::string &body) const;
    /// Records that engines and services, including killed ones, have written so far.
    [[nodiscard]] load::Ledger ledger() const;
    [[nodiscard]] load::Ledger ledgerOf(const std::string &server) const;

    /// Starts snipestall-load with the addresses for callers of all entry instances as targets.
    std::unique_ptr<Process> startLoad(const std::string &mix,
                                       const std::vector<std::string> &arguments = {});
    /// Waits until the load has ended and returns its JSON report.
    boost::json::object loadReport(Process &load) const;

    [[nodiscard]] const TopologySpec &spec() const { return m_spec; }
    /// Last part of each process's log, to be printed when a test fails.
    [[nodiscard]] std::string logs() const;
    TempDir &directory() { return m_directory; }

private:
    struct Addresses
    {
        std::uint16_t callers = 0;
        std::uint16_t operators = 0;
        std::uint16_t peers = 0;
    };

    explicit Topology(TopologySpec spec);
    void allocatePorts();
    void allocateLinkProxies(const std::string &from);
    void allocateProxy(const std::string &name, std::uint16_t target);
    void buildProcessSpecs();
    [[nodiscard]] ProcessSpec entryProcess(const EntrySpec &entry);
    [[nodiscard]] ProcessSpec serverProcess(const ServerSpec &server) const;
    [[nodiscard]] ProcessSpec proxyProcess(const std::string &name) const;
    [[nodiscard]] std::string entrySettings(const EntrySpec &entry) const;
    [[nodiscard]] std::string ledgerFile(const std::string &server) const;
    /// Returns the proxy's port, or `inner` if there is no such proxy.
    [[nodiscard]] std::uint16_t outerPort(const std::string &proxy, std::uint16_t inner) const;
    void startProcess(const std::string &name);
    [[nodiscard]] wire::Endpoint firstEndpoint(const std::string &name) const;
    [[nodiscard]] std::vector<ProxyControl> links(const std::string &one,
                                                  const std::string &other) const;
    [[nodiscard]] bool serves(const std::string &entry) const;
    [[nodiscard]] bool ready(const std::string &entry, std::uint64_t version) const;

    struct ProxyPorts
    {
        std::uint16_t listen = 0;
        std::uint16_t control = 0;
        std::uint16_t target = 0;
    };

    TopologySpec m_spec;
    TempDir m_directory;
    PortPool m_ports;
    std::uint16_t m_platformPort = 0;
    std::map<std::string, Addresses> m_entries;
    std::map<std::string, std::uint16_t> m_servers;
    std::map<std::string, ProxyPorts> m_proxies;
    /// Processes in the order in which they are started.
    std::vector<ProcessSpec> m_processSpecs;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
    int m_loads = 0;
};

} // namespace snipestall::harness
