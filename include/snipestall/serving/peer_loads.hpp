#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/server_load.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace snipestall::serving {

/// The load of the other instances at each backend server, as they last reported it. Reports that
/// have become too old count for nothing, because their requests have ended since.
///
/// The sums are kept up to date with each report, because every request that is placed asks for
/// those of all servers.
class PeerLoads
{
public:
    using Loads = std::unordered_map<std::string, ServerLoad>;

    /// Replaces what `peer` has reported before.
    void update(const std::string &peer, Loads loads, SteadyTime now);
    void forget(const std::string &peer);
    /// Drops reports that are too old; to be called before at() whenever time has passed.
    void expire(SteadyTime now);
    /// Sum over all peers that have reported recently.
    [[nodiscard]] ServerLoad at(const std::string &server) const;

private:
    /// Several missed reports; about the duration of a short generation.
    static constexpr std::chrono::milliseconds MaxReportAge { 2500 };

    struct Report
    {
        SteadyTime receivedAt;
        Loads loads;
    };
    struct Sum
    {
        ServerLoad load;
        /// Number of reports that are part of it.
        std::uint32_t reports = 0;
    };

    void subtract(const Loads &loads);

    std::map<std::string, Report> m_reports;
    std::unordered_map<std::string, Sum> m_sums;
};

} // namespace snipestall::serving
