#pragma once

#include <cstddef>
#include <vector>

namespace snipestall::serving {

/// A server that may get a request. All figures are in the same unit of work.
struct SpreadCandidate
{
    /// Load of the server, as far as it is known here.
    double load = 0;
    /// What only this request costs there, such as the part of its prompt that is not cached.
    double own = 0;
    /// Number of the data centre. The unseen work is divided among the groups by their number of
    /// servers, because instances prefer servers of their own data centre.
    std::size_t group = 0;
};

/// Chooses servers by loads that are some time old.
///
/// Load: many instances place requests by the same reports, and between two reports the fleet sends
/// many more requests than one instance knows of. Harm: all choose the server that looks least
/// loaded, which gets a queue while others are idle. The work that other instances have sent since
/// their reports is therefore added first, where it is expected to go: to the least loaded servers
/// of each group, until their loads are equal. Among the servers whose cost is then nearly the
/// least, each is chosen with a probability in proportion to the load that was added to it. Without
/// other instances nothing is added, and the server with the least cost is chosen.
class LoadSpread
{
public:
    /// `unseen`: work of the other instances that is not part of the loads yet.
    LoadSpread(std::vector<SpreadCandidate> candidates, double unseen);

    /// Returns the index of the chosen candidate; there must be at least one. `random` is from 0 up
    /// to 1.
    [[nodiscard]] std::size_t choose(double random) const;
    /// The load of a candidate with the unseen work that is expected there.
    [[nodiscard]] double loadAt(std::size_t index) const;

private:
    /// Raises the loads of one group to a level until `unseen` is used up.
    static double levelOf(std::vector<double> loads, double unseen);

    std::vector<SpreadCandidate> m_candidates;
    /// Level of each group; 0 if there is no unseen work.
    std::vector<double> m_levels;
    /// Costs that differ by less than this are taken as equal: half of what is unseen at a server.
    double m_tolerance = 0;
};

} // namespace snipestall::serving
