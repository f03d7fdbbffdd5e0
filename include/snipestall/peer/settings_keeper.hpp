#pragma once

#include "snipestall/peer/settings_document.hpp"
#include "snipestall/settings/effective_settings.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::peer {

/// The settings in force on this instance: the greatest version ever offered to it, from the table
/// or from a peer. An older or an equal one changes nothing, so settings never run backwards.
class SettingsKeeper
{
public:
    using Listener = std::function<void(std::shared_ptr<const settings::EffectiveSettings>)>;

    explicit SettingsKeeper(std::string dataCentre);

    /// True if it was newer and passed its hash and checks; listeners have run by then.
    bool offer(const SettingsDocument &document);
    void subscribe(Listener listener);

    [[nodiscard]] std::uint64_t version() const { return m_document.version; }
    [[nodiscard]] const SettingsDocument &document() const { return m_document; }
    /// Null until the first version is in force.
    [[nodiscard]] std::shared_ptr<const settings::EffectiveSettings> effective() const
    {
        return m_effective;
    }

private:
    std::string m_dataCentre;
    SettingsDocument m_document;
    std::shared_ptr<const settings::EffectiveSettings> m_effective;
    std::vector<Listener> m_listeners;
};

} // namespace snipestall::peer
