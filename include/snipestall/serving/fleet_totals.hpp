#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace snipestall::serving {

/// Named totals that only grow.
using Totals = std::map<std::string, double>;

/// Totals of all instances together: those of this instance and the growth of those that peers
/// report.
class FleetTotals
{
public:
    /// Adds to a total of this instance.
    void add(const std::string &name, double amount);
    [[nodiscard]] const Totals &own() const { return m_own; }
    /// Adds what a peer's totals have grown by. Totals of another `series` can't be compared with
    /// earlier ones, so they only set a new base: what a peer counted before its first report is
    /// not new.
    void updatePeer(const std::string &peer, std::uint64_t series, const Totals &totals);
    /// Drops the totals of a peer that another peer also reports.
    void forgetPeer(const std::string &peer) { m_peers.erase(peer); }
    [[nodiscard]] const Totals &all() const { return m_all; }
    /// Removes the totals whose names begin with `prefix`.
    void erasePrefix(const std::string &prefix);

private:
    struct Peer
    {
        std::uint64_t series = 0;
        Totals totals;
    };

    Totals m_own;
    Totals m_all;
    std::map<std::string, Peer> m_peers;
};

} // namespace snipestall::serving
