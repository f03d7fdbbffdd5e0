#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipestall::serving {

/// An instance as the overlay sees it.
struct OverlayPeer
{
    std::string dataCentre;
    /// Processor time that it has, in thousandths of a core; 0 if it is not known.
    std::uint32_t milliCores = 0;

    bool operator==(const OverlayPeer &other) const = default;
};

/// Who exchanges reports with whom.
///
/// Load: every instance needs the sum of what all others have at each server. Harm: with each pair
/// talking, messages grow with the square of the instances. Up to `MostHubs` instances all talk to
/// each other; beyond, each data centre has a few hubs, the others talk to one of them only, and
/// hubs pass on sums. Hubs are the instances with the most processor time: one that is late with
/// its members' reports is late with its own callers, too. Everybody computes the hubs from what it
/// knows; whoever is called as a hub acts as one, so views that differ for a moment cost a detour
/// and nothing else.
class Overlay
{
public:
    /// Calls of an instance stay near this number per interval, whatever the number of instances.
    static constexpr std::size_t MostHubs = 12;

    Overlay(std::string self, OverlayPeer own);

    /// `peers`: each other instance that can be reached.
    void update(const std::map<std::string, OverlayPeer> &peers);
    [[nodiscard]] bool isHub() const { return m_isHub; }
    /// One instance of each data centre reads the store for the others.
    [[nodiscard]] bool isReader() const { return m_isReader; }
    /// The instances that this one is to call.
    [[nodiscard]] const std::vector<std::string> &targets() const { return m_targets; }
    /// As a hub that others have taken this instance for.
    [[nodiscard]] const std::vector<std::string> &hubs() const { return m_hubs; }

private:
    std::string m_self;
    OverlayPeer m_own;
    bool m_isHub = true;
    bool m_isReader = true;
    std::vector<std::string> m_targets;
    /// All hubs but this instance.
    std::vector<std::string> m_hubs;
};

} // namespace snipestall::serving
