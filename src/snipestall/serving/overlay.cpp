#include "snipestall/serving/overlay.hpp"

#include "snipestall/base/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::serving {

Overlay::Overlay(std::string self, std::string dataCentre)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
{ }

void Overlay::update(const std::map<std::string, std::string> &peers)
{
    std::map<std::string, std::vector<std::string>> byDataCentre;
    byDataCentre[m_dataCentre].push_back(m_self);
    for (const auto &[name, dataCentre] : peers)
        byDataCentre[dataCentre].push_back(name);
    const bool small = peers.size() + 1 <= MostHubs;
    const std::size_t hubsEach = std::max<std::size_t>(MostHubs / byDataCentre.size(), 1);
    m_hubs.clear();
    m_isHub = false;
    std::vector<std::string> ownHubs;
    for (auto &[dataCentre, names] : byDataCentre) {
        std::sort(names.begin(), names.end());
        if (dataCentre == m_dataCentre)
            m_isReader = names.front() == m_self;
        const std::size_t count = small ? names.size() : std::min(names.size(), hubsEach);
        for (std::size_t i = 0; i < count; ++i) {
            if (names[i] == m_self)
                m_isHub = true;
            else
                m_hubs.push_back(names[i]);
            if (dataCentre == m_dataCentre)
                ownHubs.push_back(names[i]);
        }
    }
    m_targets = m_hubs;
    if (m_isHub)
        return;
    m_targets.clear();
    if (const auto hub = rendezvousPick(m_self, ownHubs))
        m_targets.push_back(*hub);
}

} // namespace snipestall::serving
