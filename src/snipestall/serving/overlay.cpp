#include "snipestall/serving/overlay.hpp"

#include "snipestall/base/rendezvous.hpp"

#include <algorithm>
#include <optional>
#include <span>
#include <tuple>
#include <utility>

namespace snipestall::serving {

namespace {

struct Candidate
{
    std::uint32_t milliCores = 0;
    std::string name;

    /// The order in which instances are chosen as hubs: most processor time first, then by name.
    bool operator<(const Candidate &other) const
    {
        return std::tie(other.milliCores, name) < std::tie(milliCores, other.name);
    }
};

/// Returns the hub of a member. `hubs`: those of its data centre, the reader first.
std::optional<std::string> hubOf(const std::string &member, const std::vector<std::string> &hubs)
{
    auto hub = rendezvousPick(member, hubs);
    // The reader has its link and processor for the tables that it reads for all, too, so half of
    // those that would choose it report to another hub.
    if (hubs.size() > 1 && hub == hubs.front() && stableHash(member + "/other") % 2 == 0)
        hub = rendezvousPick(member, std::span(hubs).subspan(1));
    return hub;
}

} // namespace

Overlay::Overlay(std::string self, OverlayPeer own)
    : m_self(std::move(self))
    , m_own(std::move(own))
{ }

void Overlay::update(const std::map<std::string, OverlayPeer> &peers)
{
    std::map<std::string, std::vector<Candidate>> byDataCentre;
    byDataCentre[m_own.dataCentre].push_back({ m_own.milliCores, m_self });
    for (const auto &[name, peer] : peers)
        byDataCentre[peer.dataCentre].push_back({ peer.milliCores, name });
    const bool allAreHubs = peers.size() + 1 <= MaxHubs;
    const std::size_t hubsPerDataCentre = std::max<std::size_t>(MaxHubs / byDataCentre.size(), 1);
    m_hubs.clear();
    m_isHub = false;
    std::vector<std::string> ownHubs;
    for (auto &[dataCentre, candidates] : byDataCentre) {
        std::sort(candidates.begin(), candidates.end());
        const bool isOwn = dataCentre == m_own.dataCentre;
        if (isOwn)
            m_isReader = candidates.front().name == m_self;
        const std::size_t count =
            allAreHubs ? candidates.size() : std::min(candidates.size(), hubsPerDataCentre);
        for (std::size_t i = 0; i < count; ++i) {
            const std::string &name = candidates[i].name;
            if (name == m_self)
                m_isHub = true;
            else
                m_hubs.push_back(name);
            if (isOwn)
                ownHubs.push_back(name);
        }
    }
    m_targets = m_hubs;
    if (m_isHub)
        return;
    m_targets.clear();
    if (const auto hub = hubOf(m_self, ownHubs))
        m_targets.push_back(*hub);
}

} // namespace snipestall::serving
