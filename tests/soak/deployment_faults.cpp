#include "harness/http_call.hpp"
#include "soak/deployment.hpp"
#include "soak/store_rows.hpp"

#include "snipestall/wire/http_request.hpp"

#include <boost/json/parse.hpp>

#include <iostream>

namespace snipestall::soak {

using harness::Process;
using std::chrono::milliseconds;

namespace {

/// Part of its requests that a bad version fails.
constexpr double BadVersionFails = 0.4;
/// Time between two looks at the state of an order.
constexpr milliseconds OrderReadInterval { 200 };
/// Servers of a version that was turned away leave this long after that.
constexpr milliseconds TurnedAwayLeaveAfter { 2000 };

} // namespace

void Deployment::setStoreFaults(const std::string &body) const
{
    const auto answer = harness::httpPost(m_storeAddress, "/standin/faults", body);
    if (!answer)
        std::cerr << "the store did not accept a fault: " << answer.error().message << '\n';
}

const std::vector<Deployment::ActionEntry> &Deployment::actions()
{
    using Kind = FaultKind;
    static const std::vector<ActionEntry> entries {
        { Kind::GatewayKilled, &Deployment::killGateway, &Deployment::restoreGateway },
        { Kind::AllGatewaysKilled, &Deployment::killAllGateways, &Deployment::restoreAllGateways },
        { Kind::GatewayStopped, &Deployment::stopGateway, &Deployment::noAction },
        { Kind::GatewayPaused, &Deployment::pauseGateway, &Deployment::resumeGateway },
        { Kind::BackendKilled, &Deployment::killBackend, &Deployment::restoreBackend },
        { Kind::BackendReborn, &Deployment::killBackendThatKeepsItsId,
          &Deployment::restoreBackend },
        { Kind::BackendLeaves, &Deployment::stopBackend, &Deployment::noAction },
        { Kind::BackendPaused, &Deployment::pauseBackend, &Deployment::resumeBackend },
        { Kind::BackendLinkSilent, &Deployment::silenceBackendLink, &Deployment::healBackendLink },
        { Kind::BackendLinkOneWay, &Deployment::dropFromBackend, &Deployment::healBackendLink },
        { Kind::BackendLinkReset, &Deployment::resetBackendLink, &Deployment::noAction },
        { Kind::BackendLinkSlow, &Deployment::slowBackendLink, &Deployment::healBackendLink },
        { Kind::StoreLinkSilent, &Deployment::silenceStoreLink, &Deployment::healStoreLink },
        { Kind::StoreLinkOneWay, &Deployment::dropFromStore, &Deployment::healStoreLink },
        { Kind::StoreLinkReset, &Deployment::resetStoreLink, &Deployment::noAction },
        { Kind::StoreLinkSlow, &Deployment::slowStoreLink, &Deployment::healStoreLink },
        { Kind::StoreBusy, &Deployment::makeStoreBusy, &Deployment::healStore },
        { Kind::StoreLosesAnswers, &Deployment::makeStoreLoseAnswers, &Deployment::healStore },
        { Kind::StorePaused, &Deployment::pauseStore, &Deployment::resumeStore },
        { Kind::StoreDropsHistory, &Deployment::dropHistory, &Deployment::noAction },
        { Kind::StoreJunk, &Deployment::writeJunk, &Deployment::noAction },
        { Kind::ConfigurationChanges, &Deployment::changeConfiguration, &Deployment::noAction },
        { Kind::BackendsRefuse, &Deployment::makeBackendsRefuse, &Deployment::endRefusals },
        { Kind::BackendNamesLimit, &Deployment::makeBackendNameLimit, &Deployment::endNeed },
        { Kind::BackendAsksForRest, &Deployment::makeBackendAskForRest, &Deployment::endNeed },
        { Kind::BackendSaysItLeaves, &Deployment::makeBackendSayItLeaves,
          &Deployment::stopBackend },
        { Kind::VersionOrdered, &Deployment::orderVersion, &Deployment::noAction },
        { Kind::PartCrashesBackends, &Deployment::beginCrashingPart, &Deployment::endCrashingPart },
        { Kind::Overload, &Deployment::toggleFlood, &Deployment::toggleFlood },
        { Kind::BackendsSilent, &Deployment::silenceBackends, &Deployment::endSilence },
        { Kind::IdleLimitChanges, &Deployment::changeIdleLimit, &Deployment::noAction },
        { Kind::TimeoutsChange, &Deployment::changeTimeouts, &Deployment::noAction },
        { Kind::MessagesWithoutEnd, &Deployment::toggleEndlessMessages,
          &Deployment::toggleEndlessMessages },
    };
    return entries;
}

void Deployment::begin(const Fault &fault)
{
    for (const ActionEntry &entry : actions()) {
        if (entry.kind == fault.kind)
            (this->*entry.begin)(fault);
    }
}

void Deployment::end(const Fault &fault)
{
    for (const ActionEntry &entry : actions()) {
        if (entry.kind == fault.kind)
            (this->*entry.end)(fault);
    }
}

void Deployment::killGateway(const Fault &fault)
{
    gateway(fault).down = true;
    gateway(fault).endRequested = true;
    gateway(fault).process->kill();
}

void Deployment::restoreGateway(const Fault &fault)
{
    gateway(fault).down = false;
}

void Deployment::killAllGateways(const Fault &)
{
    for (ManagedProcess &managed : m_gateways) {
        managed.down = true;
        managed.endRequested = true;
        managed.process->kill();
    }
}

void Deployment::restoreAllGateways(const Fault &)
{
    for (ManagedProcess &managed : m_gateways)
        managed.down = false;
}

void Deployment::stopGateway(const Fault &fault)
{
    gateway(fault).endRequested = true;
    gateway(fault).process->terminate();
}

void Deployment::pause(ManagedProcess &managed)
{
    if (managed.pauses++ == 0)
        managed.process->freeze();
}

void Deployment::resume(ManagedProcess &managed)
{
    if (--managed.pauses == 0)
        managed.process->thaw();
}

void Deployment::pauseGateway(const Fault &fault)
{
    pause(gateway(fault));
}

void Deployment::resumeGateway(const Fault &fault)
{
    resume(gateway(fault));
}

void Deployment::beginCrashingPart(const Fault &)
{
    m_crashingPart = CrashingPart;
}

void Deployment::endCrashingPart(const Fault &)
{
    m_crashingPart.clear();
}

void Deployment::toggleFlood(const Fault &)
{
    m_flooded = !m_flooded;
}

void Deployment::killBackend(const Fault &fault)
{
    backend(fault).down = true;
    backend(fault).endRequested = true;
    backend(fault).process->kill();
}

void Deployment::killBackendThatKeepsItsId(const Fault &fault)
{
    backend(fault).keepsId = true;
    killBackend(fault);
}

void Deployment::restoreBackend(const Fault &fault)
{
    backend(fault).down = false;
}

void Deployment::stopBackend(const Fault &fault)
{
    backend(fault).endRequested = true;
    backend(fault).process->terminate();
}

void Deployment::pauseBackend(const Fault &fault)
{
    pause(backend(fault));
}

void Deployment::resumeBackend(const Fault &fault)
{
    resume(backend(fault));
}

void Deployment::setNeed(const ManagedProcess &managed, const std::string &query)
{
    wire::HttpRequest request;
    request.method = "POST";
    request.target = "/standin/need?" + query;
    // A server that is down or paused does not answer; it has no need then.
    constexpr milliseconds NeedTimeout { 50 };
    if (const auto done = harness::httpCall(managed.address, std::move(request), NeedTimeout);
        !done)
        std::cerr << "a backend server did not accept a need: " << done.error().message << '\n';
}

void Deployment::makeBackendsRefuse(const Fault &)
{
    for (const ManagedProcess &managed : m_backends) {
        if (!managed.outOfService)
            setNeed(managed, "refuse=0.8");
    }
}

void Deployment::makeBackendNameLimit(const Fault &fault)
{
    setNeed(backend(fault), "limit=1");
}

void Deployment::endRefusals(const Fault &)
{
    for (const ManagedProcess &managed : m_backends) {
        if (!managed.outOfService)
            setNeed(managed, "");
    }
}

void Deployment::makeBackendAskForRest(const Fault &fault)
{
    setNeed(backend(fault), "refuse=0.6&rest=1.5");
}

void Deployment::makeBackendSayItLeaves(const Fault &fault)
{
    setNeed(backend(fault), "leaving=1");
}

void Deployment::endNeed(const Fault &fault)
{
    setNeed(backend(fault), "");
}

void Deployment::silenceBackendLink(const Fault &fault)
{
    backend(fault).link.control->drop();
}

void Deployment::dropFromBackend(const Fault &fault)
{
    backend(fault).link.control->set(R"({"drop":"to_client"})");
}

void Deployment::resetBackendLink(const Fault &fault)
{
    backend(fault).link.control->cutAll();
}

void Deployment::slowBackendLink(const Fault &fault)
{
    backend(fault).link.control->set(R"({"delay_ms":60})");
}

void Deployment::healBackendLink(const Fault &fault)
{
    backend(fault).link.control->heal();
}

void Deployment::silenceStoreLink(const Fault &fault)
{
    gateway(fault).link.control->drop();
}

void Deployment::dropFromStore(const Fault &fault)
{
    gateway(fault).link.control->set(R"({"drop":"to_client"})");
}

void Deployment::resetStoreLink(const Fault &fault)
{
    gateway(fault).link.control->cutAll();
}

void Deployment::slowStoreLink(const Fault &fault)
{
    gateway(fault).link.control->set(R"({"delay_ms":120})");
}

void Deployment::healStoreLink(const Fault &fault)
{
    gateway(fault).link.control->heal();
}

void Deployment::makeStoreBusy(const Fault &)
{
    setStoreFaults(R"({"status":503})");
}

void Deployment::makeStoreLoseAnswers(const Fault &)
{
    setStoreFaults(R"({"lose_every":3})");
}

void Deployment::healStore(const Fault &)
{
    setStoreFaults(R"({"status":0,"lose_every":0})");
}

void Deployment::pauseStore(const Fault &)
{
    pause(m_store);
}

void Deployment::resumeStore(const Fault &)
{
    resume(m_store);
}

void Deployment::dropHistory(const Fault &)
{
    setStoreFaults(R"({"drop_history":true})");
}

void Deployment::writeJunk(const Fault &fault)
{
    setStoreFaults(R"({"junk":)" + std::to_string(fault.target) + "}");
}

void Deployment::changeConfiguration(const Fault &)
{
    ++m_extraRoutes;
    m_version += 3;
    m_isConfigurationDue = true;
}

void Deployment::orderVersion(const Fault &fault)
{
    VersionOrder order;
    order.service = serviceOf(fault.target % oldBackends());
    order.isBad = fault.target / oldBackends() % 2 == 1;
    for (std::size_t i = oldBackends(); i < m_backends.size(); ++i) {
        if (serviceOf(i) != order.service)
            continue;
        m_backends[i].failShare = order.isBad ? BadVersionFails : 0;
        m_backends[i].outOfService = false;
        startBackend(i);
    }
    m_orders.push_back(order);
}

void Deployment::followOrders()
{
    const auto now = std::chrono::steady_clock::now();
    if (now - m_ordersReadAt < OrderReadInterval)
        return;
    m_ordersReadAt = now;
    for (VersionOrder &order : m_orders) {
        const std::string key = "rollout/" + order.service;
        if (!order.accepted) {
            order.orderedAt = now;
            order.accepted = putOperatorRow(
                m_storeAddress, key,
                R"({"service":")" + order.service + R"(","to":"v)"
                    + std::to_string(m_size.versions + 1) + R"(","durationS":)"
                    + std::to_string(std::chrono::duration<double>(order.duration).count()) + "}");
        } else if (!order.ended()) {
            boost::system::error_code error;
            const boost::json::value status =
                boost::json::parse(statusRow(m_storeAddress, key), error);
            if (!error)
                order.state = status.at("state").as_string();
            order.endedAt = now;
            if (order.state == "completed")
                takeOutOfService(order.service, false, &Process::kill);
        } else if (order.state == "rolled_back" && now - order.endedAt >= TurnedAwayLeaveAfter) {
            takeOutOfService(order.service, true, &Process::terminate);
        }
    }
}

void Deployment::takeOutOfService(const std::string &service, bool isNew, void (Process::*end)())
{
    for (std::size_t i = 0; i < m_backends.size(); ++i) {
        ManagedProcess &managed = m_backends[i];
        if (managed.outOfService || serviceOf(i) != service || (i >= oldBackends()) != isNew)
            continue;
        managed.outOfService = true;
        managed.endRequested = true;
        (managed.process.get()->*end)();
    }
}

void Deployment::noAction(const Fault &) { }

} // namespace snipestall::soak
