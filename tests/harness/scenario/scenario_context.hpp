#pragma once

#include "harness/topology.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace snipestall::harness {

/// The running processes of a scenario, on which its steps act and which its conditions observe.
class ScenarioContext
{
public:
    explicit ScenarioContext(Topology &topology);

    [[nodiscard]] Topology &topology() const { return m_topology; }
    void startLoad(const std::string &mix);
    [[nodiscard]] bool loadsEnded() const;
    /// Waits until every load has ended and returns the reports.
    const std::vector<boost::json::object> &reports();

    [[nodiscard]] std::chrono::steady_clock::duration elapsed() const;
    /// Number of attempts that have not ended, on one engine or, if `server` is empty, on all.
    [[nodiscard]] std::size_t attemptsRunning(const std::string &server) const;
    /// State of entry instance `of` as reported by `by`; empty if `by` reports none.
    [[nodiscard]] std::string peerState(const std::string &of, const std::string &by) const;

private:
    Topology &m_topology;
    std::chrono::steady_clock::time_point m_start;
    std::vector<std::unique_ptr<Process>> m_loads;
    std::vector<boost::json::object> m_reports;
};

} // namespace snipestall::harness
