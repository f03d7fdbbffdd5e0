#pragma once

#include "policy/harness/callers.hpp"
#include "policy/harness/cluster.hpp"

#include <vector>

namespace snipestall::policy::harness {

/// Carries out the steps of a scenario on the cluster and its callers.
class Stage
{
public:
    Stage(Cluster &cluster, Callers &callers, std::uint64_t seed);

    void setLoad(const Load &load) { m_callers.setLoad(load); }
    void submitCrasher(std::uint32_t tries) { m_callers.submitCrasher(tries); }
    void setReportLag(Duration lag) { m_cluster.setReportLag(lag); }
    /// Reclaims a fraction of the model servers, chosen at random by the seed.
    void reclaimFraction(double fraction, Duration notice);
    /// Reclaims all backend servers of one data centre, plain services included.
    void reclaimDataCentre(std::size_t number, Duration notice);
    void refuseStarts(Duration length);
    void slow(std::size_t servers, double factor, Duration length);
    void failFast(std::size_t servers, Duration length);
    /// Limits the requests per second, in each data centre, of the customer with the largest share
    /// of the load.
    void limitLargestCustomer(double requestsPerSecond);
    [[nodiscard]] const std::string &largestCustomer() const;

private:
    std::vector<FleetServer *> pick(std::size_t count);

    Cluster &m_cluster;
    Callers &m_callers;
    Random m_random;
};

} // namespace snipestall::policy::harness
