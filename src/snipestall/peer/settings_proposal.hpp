#pragma once

#include "snipestall/peer/settings_change.hpp"
#include "snipestall/peer/settings_document.hpp"
#include "snipestall/peer/settings_store.hpp"
#include "snipestall/settings/difference.hpp"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace snipestall::peer {

/// The next version of the settings as it would be written, and its differences from the head.
struct SettingsProposal
{
    SettingsDocument document;
    std::vector<settings::Difference> differences;
};

/// Applies `change` to `head` without I/O. `base` is the version on which the operator based the
/// change. If it is older than the head, the change is rebased if it touches no path that was
/// changed since. Otherwise it is refused as Conflict with the other operators' changes of those
/// paths.
tl::expected<SettingsProposal, ChangeRefusal>
propose(const SettingsChange &change, const SettingsDocument &base, const SettingsDocument &head);

} // namespace snipestall::peer
