#include "harness/scenario/scenario_context.hpp"

#include "harness/ledger_files.hpp"

#include <algorithm>

namespace snipestall::harness {

ScenarioContext::ScenarioContext(Topology &topology)
    : m_topology(topology)
    , m_start(std::chrono::steady_clock::now())
{ }

void ScenarioContext::startLoad(const std::string &mix)
{
    m_loads.push_back(m_topology.startLoad(mix));
}

bool ScenarioContext::loadsEnded() const
{
    return std::all_of(m_loads.begin(), m_loads.end(),
                       [](const auto &load) { return !load->running(); });
}

const std::vector<boost::json::object> &ScenarioContext::reports()
{
    while (m_reports.size() < m_loads.size())
        m_reports.push_back(m_topology.loadReport(*m_loads[m_reports.size()]));
    return m_reports;
}

std::chrono::steady_clock::duration ScenarioContext::elapsed() const
{
    return std::chrono::steady_clock::now() - m_start;
}

std::size_t ScenarioContext::attemptsRunning(const std::string &server) const
{
    const load::Ledger ledger = server.empty() ? m_topology.ledger() : m_topology.ledgerOf(server);
    const auto running =
        std::count_if(ledger.attempts().begin(), ledger.attempts().end(),
                      [](const auto &attempt) { return attempt.second.ended == "running"; });
    return static_cast<std::size_t>(running);
}

std::string ScenarioContext::peerState(const std::string &of, const std::string &by) const
{
    const auto status = m_topology.status(by);
    if (!status)
        return {};
    for (const auto &peer : status->peers) {
        if (peer.name == of)
            return peer.state;
    }
    return {};
}

} // namespace snipestall::harness
