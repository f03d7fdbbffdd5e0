#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipestall::serving {

/// What the overlay knows of an instance.
struct OverlayPeer
{
    std::string dataCentre;
    /// Available processor time in thousandths of a core; 0 if unknown.
    std::uint32_t milliCores = 0;

    bool operator==(const OverlayPeer &other) const = default;
};

/// Decides which instances exchange reports with each other.
///
/// Load: every instance needs the sum of the load that all others have at each server. Harm: if
/// each pair of instances exchanged reports, the number of messages would grow with the square of
/// the number of instances. Up to `MaxHubs` instances, all call each other; beyond that, each data
/// centre has a few hubs, the other instances call only one of them, and the hubs pass on sums. The
/// hubs are the instances with the most processor time, because a hub that handles its members'
/// reports late also serves its own callers late. Every instance computes the hubs from the
/// instances that it can reach. An instance that is called as a hub acts as one even if it is not a
/// hub in its own view, which can add a hop to reports. Two hubs exchange no reports until at least
/// one of them counts the other as a hub.
class Overlay
{
public:
    /// An instance makes about this many calls per interval, whatever the number of instances.
    static constexpr std::size_t MaxHubs = 12;

    Overlay(std::string self, OverlayPeer own);

    /// Recomputes the hubs. `peers`: all other instances that can be reached.
    void update(const std::map<std::string, OverlayPeer> &peers);
    [[nodiscard]] bool isHub() const { return m_isHub; }
    /// Whether this is the one instance of its data centre that reads the store for the others.
    [[nodiscard]] bool isReader() const { return m_isReader; }
    /// The instances that this one has to call.
    [[nodiscard]] const std::vector<std::string> &targets() const { return m_targets; }
    /// The other hubs; called by an instance that others use as a hub although it is not one in its
    /// own view.
    [[nodiscard]] const std::vector<std::string> &hubs() const { return m_hubs; }

private:
    std::string m_self;
    OverlayPeer m_own;
    bool m_isHub = true;
    bool m_isReader = true;
    std::vector<std::string> m_targets;
    /// All hubs except this instance.
    std::vector<std::string> m_hubs;
};

} // namespace snipestall::serving
