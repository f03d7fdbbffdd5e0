#pragma once

#include "policy/harness/callers.hpp"
#include "policy/harness/cluster.hpp"

#include <vector>

namespace snipestall::policy::harness {

/// What the steps of a scenario act on.
class Stage
{
public:
    Stage(Cluster &cluster, Callers &callers, std::uint64_t seed);

    void setLoad(const Load &load) { m_callers.setLoad(load); }
    void submitCrasher(std::uint32_t tries) { m_callers.submitCrasher(tries); }
    void setReportLag(Duration lag) { m_cluster.setReportLag(lag); }
    /// A part of the model servers, drawn by the seed.
    void reclaimPart(double part, Duration notice);
    /// All backend servers of one data centre, plain services included.
    void reclaimDataCentre(std::size_t number, Duration notice);
    void refuseStarts(Duration length);
    void slow(std::size_t servers, double factor, Duration length);
    void failFast(std::size_t servers, Duration length);
    /// Limits the customer with the largest share of the load, per data centre.
    void limitLargestCustomer(double requestsPerSecond);
    [[nodiscard]] const std::string &largestCustomer() const;

private:
    std::vector<FleetServer *> pick(std::size_t count);

    Cluster &m_cluster;
    Callers &m_callers;
    Random m_random;
};

} // namespace snipestall::policy::harness
