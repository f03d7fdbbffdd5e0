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

/// A whole deployment as real processes on loopback: platform, entry instances, backend servers
/// and proxies. Orders that can't be carried out throw std::runtime_error and so fail the test.
class Topology
{
public:
    /// Starts everything; ends once each process listens. Settings are not applied yet.
    static Result<std::unique_ptr<Topology>> start(TopologySpec spec);
    ~Topology();

    // Addresses. Those of callers and servers are their proxies' where there are any.
    [[nodiscard]] wire::Endpoint platform() const;
    [[nodiscard]] wire::Endpoint callers(const std::string &entry) const;
    [[nodiscard]] wire::Endpoint operators(const std::string &entry) const;
    [[nodiscard]] wire::Endpoint server(const std::string &name) const;
    /// `platform/<data centre>`, `peers/<entry>`, `link/<data centre>/<entry>`,
    /// `callers/<entry>` or `server/<name>`.
    [[nodiscard]] ProxyControl proxy(const std::string &name) const;

    /// Loses every byte between two data centres' entry instances; for `linksProxied`. A data
    /// centre learns the other's addresses from its seeds alone, so no other way is left.
    void cutDataCentres(const std::string &one, const std::string &other) const;
    void joinDataCentres(const std::string &one, const std::string &other) const;

    /// By the name in the spec, `platform`, or `proxy:<name>`.
    Process &process(const std::string &name);
    /// Starts a process that has ended again, at the same addresses.
    void restart(const std::string &name);
    void waitForPort(const wire::Endpoint &endpoint);

    /// Puts the spec's settings in force and waits until every entry instance serves with them.
    void applySettings();
    /// One change against the present version; the version it gave.
    std::uint64_t changeSettings(const std::string &entry, const std::string &path,
                                 const std::string &value);
    [[nodiscard]] std::optional<admin::InstanceStatus> status(const std::string &entry) const;
    /// Waits until every backend server is up in the eyes of the entry instance that owns it.
    void waitForServers();
    /// Waits until each entry instance answers an idempotent probe of every model and service:
    /// owners tell the others of their servers only with the next summaries. The probes are in the
    /// ledgers too, without a key.
    void waitForService();
    void waitForService(const std::string &entry);

    void platformFaults(const std::string &faults) const;
    [[nodiscard]] std::int64_t platformCounter(const std::string &name) const;
    void giveNotice(const std::string &name, std::chrono::milliseconds notice) const;
    void controlServer(const std::string &name, const std::string &body) const;
    /// What engines and services have recorded up to now, killed ones too.
    [[nodiscard]] load::Ledger ledger() const;
    [[nodiscard]] load::Ledger ledgerOf(const std::string &server) const;

    /// Starts snipestall-load against all callers' addresses.
    std::unique_ptr<Process> startLoad(const std::string &mix,
                                       const std::vector<std::string> &arguments = {});
    /// Its JSON report, once it has ended; waits for that.
    boost::json::object loadReport(Process &load) const;

    [[nodiscard]] const TopologySpec &spec() const { return m_spec; }
    /// Tail of each process's log, for a test that failed.
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
    void allocate();
    void allocateLinks(const std::string &from);
    void allocateProxy(const std::string &name, std::uint16_t target);
    void describe();
    [[nodiscard]] ProcessSpec entryProcess(const EntrySpec &entry);
    [[nodiscard]] ProcessSpec serverProcess(const ServerSpec &server) const;
    [[nodiscard]] ProcessSpec proxyProcess(const std::string &name) const;
    [[nodiscard]] std::string entrySettings(const EntrySpec &entry) const;
    [[nodiscard]] std::string ledgerFile(const std::string &server) const;
    /// The proxy's port in front of something, or its own without a proxy.
    [[nodiscard]] std::uint16_t outerPort(const std::string &proxy, std::uint16_t inner) const;
    void launch(const std::string &name);
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
    /// In the order in which they are started.
    std::vector<ProcessSpec> m_processSpecs;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
    int m_loads = 0;
};

} // namespace snipestall::harness
