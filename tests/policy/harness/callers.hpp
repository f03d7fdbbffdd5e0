#pragma once

#include "policy/harness/call.hpp"
#include "policy/harness/load.hpp"

#include "snipestall/base/random.hpp"

#include <cstdint>
#include <vector>

namespace snipestall::policy::harness {

class Cluster;

/// Open-loop callers: they submit requests at the rate of the current load regardless of the
/// answers, and retry refused requests as the load specifies.
class Callers
{
public:
    Callers(Cluster &cluster, std::uint64_t seed);

    /// Replaces the current load; a level of 0 stops it.
    void setLoad(const Load &load);
    /// Submits a request that crashes the server that prefills it. Its caller submits it `tries`
    /// times in all.
    void submitCrasher(std::uint32_t tries);

private:
    void scheduleModel(std::uint64_t epoch);
    void schedulePlain(std::uint64_t epoch);
    [[nodiscard]] double modelRate() const;
    [[nodiscard]] double plainRate() const;
    [[nodiscard]] const std::vector<RequestKind> &kinds() const;

    RequestSpec makeRequest(const RequestKind &kind, const std::string &service);
    void addPrefix(RequestSpec &spec, const RequestKind &kind, std::size_t customer);
    std::size_t pickCustomer();
    const RequestKind &pickKind();
    void submit(RequestSpec spec);
    void onEnded(CallIndex call);
    void submitAgain(CallIndex call);
    void giveUp(CallIndex call);

    Cluster &m_cluster;
    Random m_random;
    Load m_load;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_lastRequest = 0;
};

} // namespace snipestall::policy::harness
