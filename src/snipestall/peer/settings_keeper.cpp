#include "snipestall/peer/settings_keeper.hpp"

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/settings/tree.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::peer {

SettingsKeeper::SettingsKeeper(std::string dataCentre)
    : m_dataCentre(std::move(dataCentre))
{ }

// An instance receives settings from the table and from several peers, in any order and with delay.
// Applying an older document would undo an operator's change, so only a greater version replaces
// the current one.
bool SettingsKeeper::offer(const SettingsDocument &document)
{
    if (document.version <= m_document.version)
        return false;
    const auto tree = settings::Tree::parse(document.yaml);
    if (!tree || tree->hash() != document.hash) {
        logEvent(events::SettingsRefused, { { "version", std::to_string(document.version) } });
        return false;
    }
    m_document = document;
    m_effective = tree->effective(m_dataCentre, document.version);
    logEvent(events::SettingsApplied, { { "version", std::to_string(document.version) } });
    // An instance whose data centre is not in the settings has no share of any limit. Without a log
    // entry it would look healthy.
    const std::vector<std::string> dataCentres = tree->dataCentres();
    if (std::ranges::find(dataCentres, m_dataCentre) == dataCentres.end())
        logEvent(events::DataCentreUnknown, { { "data_centre", m_dataCentre } });
    for (const Listener &listener : m_listeners)
        listener(m_effective);
    return true;
}

void SettingsKeeper::subscribe(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

} // namespace snipestall::peer
