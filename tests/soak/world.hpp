#pragma once

#include "harness/port_pool.hpp"
#include "harness/process.hpp"
#include "harness/proxy_control.hpp"
#include "harness/temp_dir.hpp"
#include "soak/fault_plan.hpp"

#include "snipestall/wire/endpoint.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::soak {

struct WorldSize
{
    std::size_t gateways = 3;
    /// For each of the two services.
    std::size_t backends = 3;
};

/// The processes of one run: the stand-in store, backend servers and gateways, with a proxy before
/// each backend server and between each gateway and the store. Carries out faults on them.
class World
{
public:
    explicit World(WorldSize size);
    ~World();

    [[nodiscard]] std::size_t gateways() const { return m_gateways.size(); }
    [[nodiscard]] wire::Endpoint callersOf(std::size_t gateway) const;
    [[nodiscard]] const std::string &directory() const { return m_directory.path(); }
    [[nodiscard]] std::string runLog() const { return m_directory.file("runs.log"); }
    [[nodiscard]] std::string dutyLog() const { return m_directory.file("duties.log"); }
    /// Returns once every gateway has been ready.
    void awaitStart() const;
    void keepFiles() { m_directory.keep(); }

    void begin(const Fault &fault);
    void end(const Fault &fault);
    /// Starts what has ended and is to run; to be called often.
    void revive();
    /// Processes that ended although nobody ended them.
    [[nodiscard]] const std::vector<std::string> &unexpectedEnds() const { return m_ends; }
    /// When each route that was added was acknowledged by the store.
    [[nodiscard]] const std::vector<std::chrono::steady_clock::time_point> &addedRoutes() const
    {
        return m_added;
    }

private:
    struct Link
    {
        std::unique_ptr<harness::Process> proxy;
        wire::Endpoint endpoint;
        std::unique_ptr<harness::ProxyControl> control;
    };
    struct Member
    {
        std::unique_ptr<harness::Process> process;
        /// Meant to be down until its fault is over.
        bool down = false;
        /// Somebody sent it a signal that ends it.
        bool ending = false;
        int starts = 0;
        /// The next start is under the id of the last one.
        bool keepsId = false;
        /// Pauses in force: two may overlap, and only the end of the last one resumes.
        int pauses = 0;
        wire::Endpoint address;
        Link link;
        std::string settings;
        wire::Endpoint readiness;
    };

    using Action = void (World::*)(const Fault &fault);
    struct ActionEntry
    {
        FaultKind kind;
        Action begin;
        Action end;
    };
    static const std::vector<ActionEntry> &actions();

    void startStore();
    void startGateway(std::size_t index);
    void startBackend(std::size_t index);
    Link startProxy(const std::string &name, const wire::Endpoint &target);
    std::unique_ptr<harness::Process> start(const std::string &name, const std::string &program,
                                            std::vector<std::string> arguments);
    wire::Endpoint newEndpoint();
    /// False if the store did not take the configuration; it is tried again.
    bool publish();
    [[nodiscard]] std::string gatewaySettings(std::size_t index, const wire::Endpoint &callers);
    void storeFaults(const std::string &body) const;
    static void pause(Member &member);
    static void resume(Member &member);
    void reviveMember(Member &member, const std::string &name, std::size_t index,
                      void (World::*restart)(std::size_t));

    Member &gateway(const Fault &fault) { return m_gateways[fault.target % m_gateways.size()]; }
    Member &backend(const Fault &fault) { return m_backends[fault.target % m_backends.size()]; }

    void killGateway(const Fault &fault);
    void restoreGateway(const Fault &fault);
    void killAllGateways(const Fault &fault);
    void restoreAllGateways(const Fault &fault);
    void stopGateway(const Fault &fault);
    void pauseGateway(const Fault &fault);
    void resumeGateway(const Fault &fault);
    void killBackend(const Fault &fault);
    void killBackendThatKeepsItsId(const Fault &fault);
    void restoreBackend(const Fault &fault);
    void backendLeaves(const Fault &fault);
    void pauseBackend(const Fault &fault);
    void resumeBackend(const Fault &fault);
    void silenceBackendLink(const Fault &fault);
    void dropFromBackend(const Fault &fault);
    void resetBackendLink(const Fault &fault);
    void slowBackendLink(const Fault &fault);
    void healBackendLink(const Fault &fault);
    void silenceStoreLink(const Fault &fault);
    void dropFromStore(const Fault &fault);
    void resetStoreLink(const Fault &fault);
    void slowStoreLink(const Fault &fault);
    void healStoreLink(const Fault &fault);
    void makeStoreBusy(const Fault &fault);
    void makeStoreLose(const Fault &fault);
    void healStore(const Fault &fault);
    void pauseStore(const Fault &fault);
    void resumeStore(const Fault &fault);
    void dropHistory(const Fault &fault);
    void writeJunk(const Fault &fault);
    void changeConfiguration(const Fault &fault);
    void nothing(const Fault &fault);

    harness::TempDir m_directory;
    harness::PortPool m_ports;
    WorldSize m_size;
    wire::Endpoint m_storeAddress;
    /// Only its process and its pauses are used.
    Member m_store;
    std::vector<Member> m_gateways;
    std::vector<Member> m_backends;
    std::vector<std::string> m_ends;
    std::size_t m_extraRoutes = 0;
    std::vector<std::chrono::steady_clock::time_point> m_added;
    int m_version = 1;
};

} // namespace snipestall::soak
