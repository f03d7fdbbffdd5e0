#pragma once

#include "policy/harness/call.hpp"
#include "policy/harness/load.hpp"

#include "snipestall/base/random.hpp"

#include <cstdint>
#include <vector>

namespace snipestall::policy::harness {

class Cluster;

/// Open-loop callers: they ask at the rate of the load in force, whatever the system answers, and
/// come back when refused as the load says.
class Callers
{
public:
    Callers(Cluster &cluster, std::uint64_t seed);

    /// Replaces the load in force; a level of 0 stops it.
    void setLoad(const Load &load);
    /// One request that takes down the server that reads it; its caller sends it `tries` times.
    void submitCrasher(std::uint32_t tries);

private:
    void scheduleModel(std::uint64_t epoch);
    void schedulePlain(std::uint64_t epoch);
    [[nodiscard]] double modelRate() const;
    [[nodiscard]] double plainRate() const;
    [[nodiscard]] const std::vector<RequestKind> &kinds() const;

    Ask makeAsk(const RequestKind &kind, const std::string &service);
    void addPrefix(Ask &ask, const RequestKind &kind, std::size_t customer);
    std::size_t pickCustomer();
    const RequestKind &pickKind();
    void submit(Ask ask);
    void onEnded(CallIndex call);
    void submitAgain(CallIndex call);
    void giveUp(CallIndex call);

    Cluster &m_cluster;
    Random m_random;
    Load m_load;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_lastAsk = 0;
};

} // namespace snipestall::policy::harness
