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

/// The settings in force on this instance: the greatest valid version that was offered to it by the
/// table or by a peer. An older or equal version is ignored, so settings never revert.
class SettingsKeeper
{
public:
    using Listener = std::function<void(std::shared_ptr<const settings::EffectiveSettings>)>;

    explicit SettingsKeeper(std::string dataCentre);

    /// True if the document was newer and matched its hash and the checks. The listeners have been
    /// called by then.
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
