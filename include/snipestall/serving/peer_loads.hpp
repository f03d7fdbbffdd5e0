#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/server_load.hpp"

#include <chrono>
#include <map>
#include <string>
#include <unordered_map>

namespace snipestall::serving {

/// What the other instances have at each backend server, as they last said. A statement that has
/// grown old counts for nothing: its requests have ended meanwhile.
class PeerLoads
{
public:
    using Loads = std::unordered_map<std::string, ServerLoad>;

    void report(const std::string &peer, Loads loads, SteadyTime now);
    void forget(const std::string &peer);
    /// Sum over all peers heard of lately.
    [[nodiscard]] ServerLoad at(const std::string &server, SteadyTime now) const;

private:
    /// Several missed heartbeats; about as long as a short generation runs.
    static constexpr std::chrono::milliseconds LongestAge { 2500 };

    struct Report
    {
        SteadyTime heard;
        Loads loads;
    };

    std::map<std::string, Report> m_reports;
};

} // namespace snipestall::serving
