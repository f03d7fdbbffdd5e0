#include "node_status.hpp"

#include "snipestall/entry/backend_directory.hpp"
#include "snipestall/entry/node.hpp"
#include "snipestall/entry/policy_loop.hpp"
#include "snipestall/peer/membership.hpp"
#include "snipestall/peer/settings_keeper.hpp"
#include "snipestall/peer/steward.hpp"
#include "snipestall/platform/http_platform.hpp"
#include "snipestall/policy/decision_maker.hpp"

#include <array>

namespace {

using namespace snipestall;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::array<const char *, 4> StateNames { "known", "up", "suspected", "leaving" };

admin::PeerStatus peerStatus(const peer::Member &member)
{
    admin::PeerStatus status;
    status.name = member.name;
    status.dataCentre = member.dataCentre;
    status.state = StateNames.at(static_cast<std::size_t>(member.state));
    status.settingsVersion = member.settingsVersion;
    if (member.state != peer::MemberState::Known)
        status.sinceLastReport =
            duration_cast<milliseconds>(steady_clock::now() - member.lastHeartbeat);
    return status;
}

admin::BackendServerStatus serverStatus(const entry::Backend &backend)
{
    admin::BackendServerStatus status;
    status.name = backend.listed.name;
    status.service = backend.listed.service;
    status.instanceClass = backend.listed.instanceClass;
    status.state = backend.leaving ? "leaving" : backend.up ? "up" : "lost";
    status.slots = backend.slots;
    return status;
}

} // namespace

NodeStatus::NodeStatus(entry::Node &node)
    : m_node(node)
{ }

admin::InstanceStatus NodeStatus::status() const
{
    admin::InstanceStatus status;
    status.instance = m_node.local().instance;
    status.dataCentre = m_node.local().dataCentre;
    status.incarnation = m_node.incarnation();
    status.uptime = duration_cast<milliseconds>(steady_clock::now() - m_started);
    status.draining = m_node.draining();
    status.platformReachable = m_node.platform().tableAvailable();
    status.isSteward = m_node.steward().mayOrder().has_value();
    status.settingsVersion = m_node.settings().version();
    for (const auto &[name, member] : m_node.members().members())
        status.peers.push_back(peerStatus(member));
    for (const auto &[name, backend] : m_node.backends().backends()) {
        if (backend.owned)
            status.backendServers.push_back(serverStatus(backend));
    }
    for (const auto &pool : m_node.policy().maker().summaries(entry::PolicyLoop::now())) {
        admin::QueueStatus queue;
        queue.service = pool.service;
        queue.waiting = pool.queued;
        queue.oldestWait = duration_cast<milliseconds>(pool.wait);
        status.queues.push_back(queue);
    }
    return status;
}
