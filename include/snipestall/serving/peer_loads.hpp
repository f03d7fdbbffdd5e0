#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/server_load.hpp"

#include <chrono>
#include <map>
#include <string>
#include <unordered_map>

namespace snipestall::serving {

/// The load of the other instances at each backend server, as they last reported it. Reports that
/// have become too old count for nothing, because their requests have ended since.
class PeerLoads
{
public:
    using Loads = std::unordered_map<std::string, ServerLoad>;

    /// Replaces what `peer` has reported before.
    void update(const std::string &peer, Loads loads, SteadyTime now);
    void forget(const std::string &peer);
    /// Sum over all peers that have reported recently.
    [[nodiscard]] ServerLoad at(const std::string &server, SteadyTime now) const;

private:
    /// Several missed reports; about the duration of a short generation.
    static constexpr std::chrono::milliseconds MaxReportAge { 2500 };

    struct Report
    {
        SteadyTime receivedAt;
        Loads loads;
    };

    std::map<std::string, Report> m_reports;
};

} // namespace snipestall::serving
