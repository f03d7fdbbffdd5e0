#pragma once

#include "harness/topology.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace snipestall::harness {

/// What the steps of a scenario act on and look at.
class Stage
{
public:
    explicit Stage(Topology &topology);

    [[nodiscard]] Topology &topology() const { return m_topology; }
    void startLoad(const std::string &mix);
    [[nodiscard]] bool loadsEnded() const;
    /// Waits for every load's end.
    const std::vector<boost::json::object> &reports();

    [[nodiscard]] std::chrono::steady_clock::duration elapsed() const;
    /// Attempts that have not ended, on one engine or on all.
    [[nodiscard]] std::size_t attemptsRunning(const std::string &server) const;
    /// State of one entry instance in the eyes of another; empty if it gives none.
    [[nodiscard]] std::string peerState(const std::string &of, const std::string &by) const;

private:
    Topology &m_topology;
    std::chrono::steady_clock::time_point m_start;
    std::vector<std::unique_ptr<Process>> m_loads;
    std::vector<boost::json::object> m_reports;
};

} // namespace snipestall::harness
